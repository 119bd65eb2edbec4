// The operators' commands against a running system: `config`, `snapshot` and `status`.
#pragma once

#include <string>
#include <vector>

#include "cli/configuration_file.hpp"
#include "cli/exit_code.hpp"
#include "cli/operator_client.hpp"

namespace lilacmux {

// Each command writes its result to standard output and one line on what went wrong to standard error.
class Operator {
 public:
  // `control`: any control listeners; not empty.
  explicit Operator(std::vector<Endpoint> control) : control_(std::move(control)) {}

  // Prints the configuration that is in place.
  ExitCode get() const;
  // Replaces it by the one in the file.
  ExitCode put(const std::string& file) const;
  // Prints what the file would change.
  ExitCode diff(const std::string& file) const;
  // Saves the acknowledged configuration as a snapshot file.
  ExitCode save(const std::string& file) const;
  // Puts a snapshot into a system that has no configuration, or an older one.
  ExitCode restore(const std::string& file) const;
  // Prints what a snapshot file holds, without contacting anyone.
  static ExitCode inspect(const std::string& file);
  // Prints the status of the process at a control listener or a gateway's readiness listener.
  static ExitCode status(const Endpoint& server, bool asJson);

 private:
  ExitCode replace(std::uint64_t revision, const std::string& packed) const;
  HttpResponse describe() const { return control_.call({false, "/api/Configuration.Describe", {}, 0}); }

  const OperatorClient control_;
};

}  // namespace lilacmux
