// What operators have asked for and what must outlive a process: who is left out, and the front's drain. It
// lies in a file that the processes of an upgrade share.
#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <string>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

struct OperatorsState {
  struct Absence {  // of a worker; it is out while it was suspended last
    Time suspended = 0, resumed = 0;
    bool out() const { return suspended > resumed; }
    Time changed() const { return std::max(suspended, resumed); }
    bool operator==(const Absence&) const = default;
  };
  struct Front {
    Time changed = 0;
    bool away = false;
    bool operator==(const Front&) const = default;
  };
  std::map<std::string, Absence> absent;  // by instance id
  Front front;

  bool operator==(const OperatorsState&) const = default;
  // Of each part, what was asked for later.
  void merge(const OperatorsState& other);
};

class StateFile {
 public:
  using Log = std::function<void(const std::string&)>;
  // Without a folder it keeps nothing.
  StateFile(const std::filesystem::path& folder, Log log);

  // What it holds; a file that is missing, damaged or of another form holds nothing.
  OperatorsState read();
  // Whether it has been replaced since it was last read or written here.
  bool changed() const;
  void write(const OperatorsState& state);

 private:
  using Stamp = std::pair<std::uint64_t, std::filesystem::file_time_type>;
  Stamp stamp() const;

  std::filesystem::path path_;
  Log log_;
  Stamp seen_{};
};

}  // namespace lilacmux
