#include <map>
#include <string>
#include <vector>

#include "experiment/capacity_examples.hpp"
#include "experiment/capacity_measurements.hpp"
#include "experiment/measure.hpp"
#include "quota/admission.hpp"
#include "quota/share_ledger.hpp"

namespace lilacmux {
namespace {

constexpr unsigned kTenantsPerReport = 50;
constexpr double kTenantRate = 100;  // requests a second

}  // namespace

void measureLedger(CapacityRecorder& recorder, const std::string& sizeName, std::size_t size,
                   std::size_t tenants, std::size_t holders) {
  const std::size_t before = allocatedBytes();
  ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1);
  std::map<std::string, Quota> quotas;
  for (std::size_t t = 0; t < tenants; ++t) quotas[exampleTenantName(t)] = {kTenantRate, kTenantRate};
  const double quotasMs = medianProcessorMs(1, [&] { ledger.setQuotas(0, quotas); });
  const auto add = [&](const char* what, const char* unit, double value) {
    recorder.add("ledger by " + sizeName + ": " + what, unit, sizeName, static_cast<double>(size), value);
  };
  add("taking the limits of a new configuration", "ms", quotasMs);
  const auto held = static_cast<double>(allocatedBytes() - before);
  add("memory without holders", "MB", held / kBytesPerMegabyte);
  double now = 0;
  for (std::size_t h = 0; h < holders; ++h) ledger.handleReport(now, "relay" + std::to_string(h), {}, true);
  constexpr unsigned kReports = 400;
  std::size_t report = 0;
  const double ms = medianProcessorMs(kTimedRuns, [&] {
    for (unsigned t = 0; t < kReports; ++t, ++report)
      ledger.handleReport(now += 0.1, "relay" + std::to_string(report % holders),
                          exampleDemands(report * kTenantsPerReport, kTenantsPerReport, tenants), false);
  });
  add("a turn that names 50 tenants", "us", ms * kMicrosPerMilli / kReports);
  const auto demands = exampleDemands(0, tenants, tenants);
  const std::size_t beforeHolder = allocatedBytes();
  ledger.handleReport(now, "holder", demands, true);
  add("memory of one more holder, of all tenants", "MB", megabytes(allocatedBytes() - beforeHolder));
}

void measureAdmission(CapacityRecorder& recorder, std::size_t tenants) {
  const std::size_t before = allocatedBytes();
  Admission admission;
  std::vector<std::string> names;
  for (std::size_t t = 0; t < tenants; ++t) names.push_back(exampleTenantName(t));
  admission.setLimitedTenants(names);
  for (std::size_t t = 0; t < tenants; ++t) admission.tryAdmit(0, names[t], 0);
  names = {};
  recorder.add("gatekeeper's buckets: memory", "MB", "tenants", static_cast<double>(tenants),
               megabytes(allocatedBytes() - before));
}

}  // namespace lilacmux
