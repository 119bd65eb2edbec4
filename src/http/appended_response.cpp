#include "http/appended_response.hpp"

#include <algorithm>
#include <utility>

#include "http/http.hpp"

namespace lilacmux {
namespace {

constexpr std::string_view kStatusLine = "HTTP/1.# ###";  // #: any digit
constexpr std::size_t kStatusAt = 9;                      // the status in it
constexpr std::string_view kLineEnd = "\r\n";

bool isDigit(char c) { return c >= '0' && c <= '9'; }

bool isTokenCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || isDigit(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isTextCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

// As far as it has come; a lone CR at its end may be half of the line's end.
bool isText(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return std::all_of(line.begin(), line.end(), isTextCharacter);
}

bool beginsStatusLine(std::string_view bytes) {
  const std::size_t common = std::min(bytes.size(), kStatusLine.size());
  for (std::size_t at = 0; at < common; ++at)
    if (kStatusLine[at] == '#' ? !isDigit(bytes[at]) : bytes[at] != kStatusLine[at]) return false;
  return true;
}

bool isStatusLine(std::string_view line, bool ended) {
  if (!beginsStatusLine(line)) return false;
  if (line.size() < kStatusLine.size()) return !ended;
  return line.size() == kStatusLine.size() || line[kStatusLine.size()] == ' ' ||
         line[kStatusLine.size()] == '\r';
}

bool isFieldLine(std::string_view line, bool ended) {
  if (!ended && (line.empty() || line == "\r")) return true;
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (name.empty() || (ended && colon == std::string_view::npos)) return false;
  return std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool hasName(std::string_view line, std::string_view name) {
  return line.size() > name.size() && line[name.size()] == ':' &&
         beast::iequals({line.data(), name.size()}, {name.data(), name.size()});
}

}  // namespace

HeadMatch matchResponseHead(std::string_view bytes, std::string_view attemptField) {
  bool isFirst = true, isInterim = false;
  for (;;) {
    if (isFirst && !beginsStatusLine(bytes)) return HeadMatch::none;
    const std::size_t end = bytes.find(kLineEnd);
    const bool ended = end != std::string_view::npos;
    const std::string_view line = bytes.substr(0, end);
    const bool endsHead = !isFirst && ended && line.empty();
    if (endsHead && attemptField.empty()) return HeadMatch::whole;
    if (endsHead && !isInterim) return HeadMatch::none;
    if (!isText(line)) return HeadMatch::none;
    if (isFirst && !isStatusLine(line, ended)) return HeadMatch::none;
    if (!isFirst && !endsHead && !isFieldLine(line, ended)) return HeadMatch::none;
    if (!ended) return HeadMatch::partial;
    if (!isFirst && !attemptField.empty() && hasName(line, attemptField)) return HeadMatch::whole;
    if (isFirst) isInterim = line[kStatusAt] == '1';
    isFirst = endsHead;  // the response itself follows an interim one
    bytes.remove_prefix(end + kLineEnd.size());
  }
}

bool containsStatusLine(std::string_view text) {
  for (std::size_t at = text.find('H'); at != std::string_view::npos; at = text.find('H', at + 1))
    if (text.size() - at >= kStatusLine.size() && beginsStatusLine(text.substr(at))) return true;
  return false;
}

void AppendedResponseScanner::feed(std::string_view bytes) {
  if (found_) return;
  if (candidate_.empty()) return scan(bytes);
  const std::string joined = std::exchange(candidate_, {}).append(bytes);
  scan(joined);
}

HeadMatch AppendedResponseScanner::match(std::string_view bytes) const {
  const HeadMatch match = matchResponseHead(bytes, attemptField_);
  if (match != HeadMatch::partial || bytes.size() < kMaxHeader) return match;
  // No server's head is longer: nobody waits for the end of this one.
  return attemptField_.empty() ? HeadMatch::whole : HeadMatch::none;
}

void AppendedResponseScanner::scan(std::string_view bytes) {
  for (std::size_t at = bytes.find('H'); at != std::string_view::npos; at = bytes.find('H', at + 1)) {
    const std::string_view rest = bytes.substr(at);
    const HeadMatch found = match(rest);
    if (found == HeadMatch::none) continue;
    found_ = found == HeadMatch::whole;
    if (!found_) candidate_ = rest;
    return;
  }
}

HeadMatch AppendedResponseScanner::matchAcross(std::string_view behind) const {
  const std::string joined = candidate_ + std::string(behind.substr(0, kMaxHeader));
  for (std::size_t at = joined.find('H'); at < candidate_.size(); at = joined.find('H', at + 1)) {
    const HeadMatch found = match(std::string_view(joined).substr(at));
    if (found != HeadMatch::none) return found;
  }
  return HeadMatch::none;
}

}  // namespace lilacmux
