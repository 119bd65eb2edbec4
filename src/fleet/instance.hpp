// A server process from the platform's server list, and its JSON encoding.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lilacmux {

struct Instance {
  std::string id;       // unique; changes when the server restarts
  std::string service;  // service to which the server belongs
  std::string address;  // ip:port
  std::string zone;
  unsigned capacity = 0;  // maximum number of concurrent requests
  bool draining = false;  // accepts no new requests
  double warmupMs = 0;    // remaining warm-up time when the list was read, ms; ignored by operator==

  // Takes over the draining state of an earlier record of the same instance. Draining is irreversible, and a
  // list that is read later may be older, so it must not reset the state.
  void inherit(const Instance& earlier) { draining = draining || earlier.draining; }

  bool operator==(const Instance& other) const {
    return id == other.id && service == other.service && address == other.address && zone == other.zone &&
           capacity == other.capacity && draining == other.draining;
  }
};

// The JSON keys are part of the wire format, which different versions share during an upgrade.
void to_json(nlohmann::json& out, const Instance& instance);
// Throws nlohmann::json::exception if a key is missing or has the wrong type.
void from_json(const nlohmann::json& in, Instance& instance);

}  // namespace lilacmux
