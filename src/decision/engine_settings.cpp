#include "decision/engine_settings.hpp"

#include <charconv>
#include <functional>
#include <map>
#include <stdexcept>

namespace lilacmux {
namespace {

constexpr unsigned kMaxItems = 4096;  // longer lists indicate a damaged frame

[[noreturn]] void throwError(std::string_view what, std::string_view text) {
  throw std::runtime_error(std::string(what) + ": " + std::string(text));
}

double parseNumber(std::string_view key, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) throwError("settings: not a number", key);
  return value;
}

unsigned parseWholeNumber(std::string_view key, std::string_view text) {
  const double value = parseNumber(key, text);
  if (!(value >= 0 && value <= 4294967295.0)) throwError("settings: not a whole number", key);
  return static_cast<unsigned>(value);
}

bool parseBoolean(std::string_view key, std::string_view text) {
  if (text == "true") return true;
  if (text == "false") return false;
  throwError("settings: neither true nor false", key);
}

std::vector<std::string> splitByComma(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const auto comma = text.find(',');
    out.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
  }
  return out;
}

using Pairs = std::map<std::string, std::string, std::less<>>;
using Setter = std::function<void(std::string_view key, std::string_view value)>;

void read(const Pairs& pairs, const std::string& key, const Setter& set) {
  const auto found = pairs.find(key);
  if (found != pairs.end()) set(key, found->second);
}

void readNumber(const Pairs& pairs, const std::string& key, double& target) {
  read(pairs, key, [&](std::string_view name, std::string_view value) { target = parseNumber(name, value); });
}

void readWholeNumber(const Pairs& pairs, const std::string& key, unsigned& target) {
  read(pairs, key,
       [&](std::string_view name, std::string_view value) { target = parseWholeNumber(name, value); });
}

void readBoolean(const Pairs& pairs, const std::string& key, bool& target) {
  read(pairs, key,
       [&](std::string_view name, std::string_view value) { target = parseBoolean(name, value); });
}

unsigned readCount(const Pairs& pairs, const std::string& key) {
  unsigned items = 0;
  readWholeNumber(pairs, key + ".count", items);
  if (items > kMaxItems) throwError("settings: too many items", key);
  return items;
}

ClassSettings readClass(const Pairs& pairs, const std::string& prefix) {
  ClassSettings out;
  readNumber(pairs, prefix + "aim", out.latencyTarget);
  readNumber(pairs, prefix + "deadline", out.deadline);
  readNumber(pairs, prefix + "window", out.deduplicationWindow);
  readNumber(pairs, prefix + "worth", out.priorityWeight);
  readNumber(pairs, prefix + "lateWorth", out.lateWeight);
  read(pairs, prefix + "repeat", [&](std::string_view name, std::string_view value) {
    if (value == "safe")
      out.idempotency = Idempotency::safe;
    else if (value == "keyed")
      out.idempotency = Idempotency::keyed;
    else if (value == "unsafe")
      out.idempotency = Idempotency::unsafe;
    else
      throwError("settings: unknown keyword", name);
  });
  read(pairs, prefix + "dedupScope", [&](std::string_view name, std::string_view value) {
    if (value == "all")
      out.deduplicationScope = DeduplicationScope::all;
    else if (value == "zone")
      out.deduplicationScope = DeduplicationScope::zone;
    else if (value == "cell")
      out.deduplicationScope = DeduplicationScope::cell;
    else
      throwError("settings: unknown keyword", name);
  });
  return out;
}

PlanSettings readPlan(const Pairs& pairs, const std::string& prefix) {
  PlanSettings out;
  readNumber(pairs, prefix + "unitsPerS", out.rate);
  readNumber(pairs, prefix + "depth", out.burst);
  readWholeNumber(pairs, prefix + "atOnce", out.maxInFlight);
  readNumber(pairs, prefix + "ceilingRate", out.hardLimitRate);
  readNumber(pairs, prefix + "hardBurst", out.hardLimitBurst);
  readNumber(pairs, prefix + "tolerance", out.hardLimitSlack);
  readNumber(pairs, prefix + "pays", out.price);
  readNumber(pairs, prefix + "overWorth", out.overQuotaWeight);
  readNumber(pairs, prefix + "overrunCost", out.overQuotaCost);
  return out;
}

Pairs readPairs(std::string_view text) {
  Pairs pairs;
  while (!text.empty()) {
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) continue;
    const auto separator = line.find('=');
    if (separator == std::string_view::npos) throwError("settings: a line without '='", line.substr(0, 60));
    pairs.insert_or_assign(std::string(line.substr(0, separator)), std::string(line.substr(separator + 1)));
  }
  return pairs;
}

std::vector<std::string> readNames(const Pairs& pairs, const std::string& key) {
  std::vector<std::string> out(readCount(pairs, key));
  for (std::size_t i = 0; i < out.size(); ++i)
    read(pairs, key + "." + std::to_string(i) + ".name",
         [&](std::string_view, std::string_view value) { out[i] = value; });
  return out;
}

}  // namespace

EngineSettings parseEngineSettings(std::string_view text) {
  const Pairs pairs = readPairs(text);
  EngineSettings out;
  readWholeNumber(pairs, "me", out.gatewayIndex);
  readWholeNumber(pairs, "nInstances", out.gatewayCount);
  readWholeNumber(pairs, "locality", out.zone);
  read(pairs, "report.fields",
       [&](std::string_view, std::string_view value) { out.loadReportFields = splitByComma(value); });
  read(pairs, "discovery", [&](std::string_view name, std::string_view value) {
    if (value != "pushed" && value != "on_request") throwError("settings: unknown keyword", name);
    out.requiresSubscription = value == "on_request";
  });
  readNumber(pairs, "rules.askWithin", out.subscribeWithin);
  readWholeNumber(pairs, "permissions.attemptsCap", out.maxAttempts);
  readNumber(pairs, "permissions.maxRetryAfter", out.maxRetryAfter);
  readNumber(pairs, "familyInfo.metering", out.meterPeriod);
  readBoolean(pairs, "familyInfo.truedUp", out.hasEstimatedUnits);
  readNumber(pairs, "familyInfo.mostUnits", out.maxUnits);
  readNumber(pairs, "rules.stopSendingWithin", out.drainGracePeriod);
  readNumber(pairs, "rules.coldFrom", out.initialCapacityShare);
  readNumber(pairs, "rules.warmUp", out.warmUpTime);
  readNumber(pairs, "rules.fallMultiple", out.overloadFactor);
  readNumber(pairs, "rules.overloadFor", out.overloadDuration);
  readNumber(pairs, "prices.crossZone", out.crossZonePrice);
  const unsigned classes = readCount(pairs, "profiles");
  for (unsigned i = 0; i < classes; ++i)
    out.classes.push_back(readClass(pairs, "profiles." + std::to_string(i) + "."));
  const unsigned plans = readCount(pairs, "plans");
  for (unsigned i = 0; i < plans; ++i)
    out.plans.push_back(readPlan(pairs, "plans." + std::to_string(i) + "."));
  return out;
}

HostSettings parseHostSettings(std::string_view text) {
  const Pairs pairs = readPairs(text);
  HostSettings out;
  out.classes = readNames(pairs, "profiles");
  out.plans = readNames(pairs, "plans");
  read(pairs, "localities",
       [&](std::string_view, std::string_view value) { out.zones = splitByComma(value); });
  read(pairs, "shapes", [&](std::string_view, std::string_view value) { out.kinds = splitByComma(value); });
  readNumber(pairs, "permissions.dialTimeout", out.connectTimeout);
  readNumber(pairs, "permissions.connIdle", out.idleTimeout);
  return out;
}

}  // namespace lilacmux
