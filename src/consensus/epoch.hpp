// An epoch is the period in which one primary leads with one epoch record. Its number is made of a term,
// which an election opens, and a step within the term, which the primary opens without a vote to change the
// backups or the members. Epochs are totally ordered; each is opened by a single primary.
#pragma once

#include <cstdint>
#include <string>

namespace lilacmux {

constexpr unsigned kStepBits = 20;  // the step is in the lowest bits of an epoch, the term above them
constexpr std::uint64_t termOf(std::uint64_t epoch) { return epoch >> kStepBits; }
constexpr std::uint64_t stepOf(std::uint64_t epoch) { return epoch - (termOf(epoch) << kStepBits); }
// Returns "term.step", for logs and status.
inline std::string epochText(std::uint64_t epoch) {
  std::string out = std::to_string(termOf(epoch));
  out += '.';
  out += std::to_string(stepOf(epoch));
  return out;
}

}  // namespace lilacmux
