#include "upstream/response_attribution.hpp"

#include <algorithm>
#include <utility>

namespace lilacmux {
namespace {

constexpr unsigned kMaxPassedOver = 8;  // interim and surplus responses ahead of one

}  // namespace

void ResponseAttribution::begin(std::string attemptId) {
  attemptId_ = std::move(attemptId);
  scanner_ = {};
  scansBody_ = endsWithConnection_ = isSurplus_ = false;
  isClean_ = true;
  passedOver_ = 0;
}

ResponseAttribution::HeadVerdict ResponseAttribution::examineHead(const http::response_header<>& head,
                                                                  bool endsWithConnection) {
  isSurplus_ = false;
  if (!isUnambiguous(head)) return HeadVerdict::untrusted;
  const bool isInterim = head.result_int() < 200;
  const auto owner = isInterim ? ResponseOwnership::ours : reader_.ownership(head, attemptId_);
  if (owner == ResponseOwnership::unknown) return HeadVerdict::untrusted;
  isSurplus_ = owner == ResponseOwnership::anothers;
  isClean_ = isClean_ && !isSurplus_;
  if (isSurplus_ && endsWithConnection) return HeadVerdict::untrusted;
  if ((isInterim || isSurplus_) && ++passedOver_ > kMaxPassedOver) return HeadVerdict::untrusted;
  if (isInterim) return HeadVerdict::interim;
  endsWithConnection_ = endsWithConnection;
  const std::string_view attemptField = reader_.attemptField();
  scansBody_ = endsWithConnection || !attemptField.empty();
  scanner_ = endsWithConnection ? AppendedResponseScanner() : AppendedResponseScanner(attemptField);
  return isSurplus_ ? HeadVerdict::surplus : HeadVerdict::ours;
}

// A head that two are joined in holds the second one's status line, wherever the first was cut: in the reason
// or a value, since no name of a field can hold it.
bool ResponseAttribution::isUnambiguous(const http::response_header<>& head) const {
  if (!plainFraming(head) || head.result() == http::status::switching_protocols) return false;
  if (containsStatusLine(view(head.reason()))) return false;
  return std::none_of(head.begin(), head.end(),
                      [](const auto& field) { return containsStatusLine(view(field.value())); });
}

bool ResponseAttribution::examineBody(std::string_view bytes) {
  if (!scansBody_) return true;
  scanner_.feed(bytes);
  return !scanner_.found();
}

ResponseAttribution::EndVerdict ResponseAttribution::examineEnd(std::string_view behind, bool isLast) {
  if (scanner_.found()) return EndVerdict::joined;
  if (scanner_.undecided() == 0) return EndVerdict::whole;
  if (endsWithConnection_) return EndVerdict::joined;
  const HeadMatch match = scanner_.matchAcross(behind);
  if (match == HeadMatch::none) return EndVerdict::whole;
  if (match == HeadMatch::whole) return EndVerdict::joined;
  if (!isLast) return EndVerdict::undecided;
  return scanner_.hasStatusLine() ? EndVerdict::joined : EndVerdict::whole;
}

}  // namespace lilacmux
