#include "gatekeeper/server_response_reader.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {
namespace {

constexpr double kMaxLoadFigure = 1e6;  // of a load report
constexpr int kMaxPercent = 1000000;

// The figures of `inflight=7,queue=2,util=0.61` in the settings' order; none unless all are there, each once
// and such that it can be so. What the decision engine takes in once stays in its means.
std::vector<double> readReport(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<double> out(fields.size(), -1);
  std::size_t found = 0;
  while (!text.empty()) {
    std::string_view value = cut(text, ',');
    const auto field = std::find(fields.begin(), fields.end(), cut(value, '='));
    if (field == fields.end()) continue;
    const auto figure = number<double>(value);
    double& place = out[static_cast<std::size_t>(field - fields.begin())];
    if (!figure || !std::isfinite(*figure) || *figure < 0 || *figure > kMaxLoadFigure || place >= 0)
      return {};
    place = *figure;
    ++found;
  }
  return found == fields.size() ? out : std::vector<double>{};
}

}  // namespace

std::string_view only(const http::fields& fields, const char* name) {
  return countOf(fields, name) == 1 ? view(fields[name]) : std::string_view{};
}

AttemptResult ServerResponseReader::read(const http::response_header<>& head, AttemptOutcome& outcome) const {
  const auto percent = number<int>(only(head, "X-RateLimit-Used"));
  if (percent && *percent >= 0 && *percent <= kMaxPercent) outcome.quotaUsePercent = *percent;
  outcome.loadReport = readReport(only(head, "Srv-Load"), reportFields_);
  if (head.result() == http::status::ok) return AttemptResult::ok;
  const bool busy =
      head.result() == http::status::service_unavailable || head.result() == http::status::gateway_timeout;
  return busy && only(head, "Srv-Declined") == "1" ? AttemptResult::full : AttemptResult::error;
}

http::fields ServerResponseReader::forwardedFields(const http::response_header<>& head) const {
  http::fields out;
  const auto type = head[http::field::content_type];
  if (!type.empty()) out.set(http::field::content_type, type);
  return out;
}

}  // namespace lilacmux
