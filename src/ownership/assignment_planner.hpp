// Decides which server gets which keys: a pure function from the table, the servers and the measured load to
// the changed table. It divides the keys of a new service evenly, moves ranges off servers that leave or do
// not respond, gives ranges to empty servers, and evens out the load. A key that changes hands has a price,
// so a range is moved for its load only where that takes much off the most loaded server.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "ownership/key_load.hpp"
#include "ownership/ownership_table.hpp"

namespace lilacmux {

struct PlacementInput {
  std::string service;
  std::vector<std::string> servers;  // that may be given ranges, sorted by id
  const KeyLoad* load = nullptr;     // null: unknown
  // Whether an assignment may be changed: no earlier server can hold its keys.
  std::function<bool(Fence)> isHandedOver;
  // Whether an assignment needs a new fence.
  std::function<bool(Fence)> isRejected;
};

// Changes the assignments of one service. Returns whether anything has changed. `table` must have begun a
// change.
bool planAssignments(const PlacementInput& input, OwnershipTable& table);

}  // namespace lilacmux
