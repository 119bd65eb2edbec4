// The kinds of faults that the bench can inject into a day, as it names them, with the values that may be
// drawn for each.
#pragma once

#include <string>
#include <vector>

namespace lilacmux {

// A field of a fault and the range that it is drawn from.
struct FaultParameter {
  const char* name = "";
  double min = 0, max = 0;
  bool isWhole = false;  // written without decimals
};

struct FaultKind {
  const char* name = "";
  bool isPlanned = false;  // an operator's action; else a fault of machines, networks or clients
  std::vector<FaultParameter> parameters;
  std::vector<const char*>
      variants;  // of its field `how`, one of which is drawn; blanks part words that go together
  std::vector<const char*> targets;  // of its field `on`; empty: the bench draws where it strikes
};

const std::vector<FaultKind>& faultKinds();
// Throws DayError where there is none of this name.
const FaultKind& faultKindNamed(const std::string& name);

// The fault at the end of a day, from which the system has to recover.
struct ClosingFaultKind {
  const char* name = "";
  std::vector<const char*> variants;  // as above; repeated: drawn more often
};
const std::vector<ClosingFaultKind>& closingFaultKinds();

}  // namespace lilacmux
