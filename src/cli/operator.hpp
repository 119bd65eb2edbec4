// What operators do from the command line against a running control plane. Each returns an exit code and
// writes for people: results to standard output, one line on what went wrong to standard error.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "settings/settings.hpp"

namespace lilacmux {

constexpr int kRefused = 1;   // refused, or nobody could be reached
constexpr int kDiffers = 1;   // of two configurations
constexpr int kBadInput = 2;  // the file or the settings cannot be used; nothing was sent

// A configuration from JSON or MessagePack bytes. Throws SettingsError with one line on what is wrong.
nlohmann::json configurationFrom(const std::string& bytes);
// A line for each place in which two configurations differ, by its path.
std::vector<std::string> differences(const nlohmann::json& from, const nlohmann::json& to);

class Operator {
 public:
  // Any control listeners; who is not the primary sends on.
  explicit Operator(std::vector<Endpoint> control) : control_(std::move(control)) {}

  int get() const;
  int put(const std::string& file) const;
  int diff(const std::string& file) const;
  // The acknowledged configuration into a file, checksummed; out of it again, into a system that has none or
  // an older one; and what a file holds, without asking anybody.
  int save(const std::string& file) const;
  int restore(const std::string& file) const;
  static int inspect(const std::string& file);
  // Of the process that listens at `at`: a control listener or a gateway's readiness listener.
  static int status(const Endpoint& at, bool asJson);

 private:
  struct Reply {
    unsigned status = 0;  // 0: nobody answered
    std::string body;
  };
  Reply call(bool post, const std::string& path, const std::string& body, std::uint64_t base) const;
  int replace(std::uint64_t revision, const std::string& packed) const;
  Reply describe() const { return call(false, "/api/Configuration.Describe", {}, 0); }

  const std::vector<Endpoint> control_;
};

}  // namespace lilacmux
