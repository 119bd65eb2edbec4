#include <cmath>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "experiment/capacity_examples.hpp"
#include "experiment/capacity_measurements.hpp"
#include "experiment/measure.hpp"
#include "fleet/change_log.hpp"
#include "fleet/follow_codec.hpp"
#include "fleet/server_list_page.hpp"
#include "gateway/cluster.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

// Answers nothing: a cluster is built, not used.
class SilentClusterHost : public ClusterHost {
 public:
  void send(Cluster&, RequestId, ServerId, Time) override {}
  void reject(RequestId, Time) override {}
  void fail(RequestId) override {}
  void setTimer(Cluster&, Time, std::uint64_t) override {}
  void log(const std::string&) override {}
};

// Clusters of a gatekeeper that sends to all services.
double clusterBytes(const CapacityTarget& target, const std::vector<Instance>& servers,
                    std::size_t services) {
  SilentClusterHost host;
  RequestClasses classes;
  Route route;
  route.timeoutMs = route.latencyTargetMs = 1000;
  for (const RouteType type : {RouteType::idempotent, RouteType::nonIdempotent, RouteType::download}) {
    route.type = type;
    classes.classOf(route);
  }
  std::map<std::string, std::vector<Instance>> byService;
  for (const Instance& server : servers) byService[server.service].push_back(server);
  const std::size_t before = allocatedBytes();
  std::vector<std::shared_ptr<Cluster>> clusters;
  clusters.reserve(services);
  for (const auto& [service, list] : byService) {
    clusters.push_back(std::make_shared<Cluster>("zona-0", classes, target.gatekeepers, 1, 0, host));
    clusters.back()->setServers(0, list);
  }
  return static_cast<double>(allocatedBytes() - before);
}

}  // namespace

void measureServers(CapacityRecorder& recorder, const CapacityTarget& target, double part) {
  const std::size_t count = partOf(target.servers, part), services = partOf(target.services, part);
  const auto size = static_cast<double>(count);
  const auto servers = exampleServers(count, services);
  const auto add = [&](const char* what, const char* unit, double value) {
    recorder.add(what, unit, "servers", size, value);
  };
  const std::string page = examplePage(servers);
  const double pages = std::ceil(size / kServersPerPage);
  add("list: one reading of all pages", "MB", pages * megabytes(page.size()));
  constexpr unsigned kPagesPerRun = 20;
  const double msPerRun = medianProcessorMs(kTimedRuns, [&] {
    for (unsigned p = 0; p < kPagesPerRun; ++p) parseServerListPage(page);
  });
  add("list: parsing all pages", "ms", pages * msPerRun / kPagesPerRun);
  const std::size_t before = allocatedBytes();
  ChangeLog log(1);
  log.updateServers(servers);
  add("change log: memory", "MB", megabytes(allocatedBytes() - before));
  add("change log: a list without a change", "ms",
      medianProcessorMs(kTimedRuns, [&] { log.updateServers(servers); }));
  ChangeLog::Delta news;
  add("change log: making a snapshot", "ms",
      medianProcessorMs(kTimedRuns, [&] { news = log.deltaSince({}, 0); }));
  add("change log: nothing new", "ms",
      medianProcessorMs(kTimedRuns, [&] { log.deltaSince(log.position(), 0); }));
  FollowResponse answer;
  answer.epoch = 1;
  answer.delta = news;
  std::string bytes;
  add("snapshot of servers: encoding", "ms",
      medianProcessorMs(kTimedRuns, [&] { bytes = toFrame(answer).head.dump(); }));
  add("snapshot of servers: bytes", "MB", megabytes(bytes.size()));
  add("snapshot of servers: decoding", "ms", medianProcessorMs(kTimedRuns, [&] {
        Frame frame;
        frame.head = json::parse(bytes);
        parseFollowResponse(std::move(frame));
      }));
  add("clusters of all services at a gatekeeper: memory", "MB",
      clusterBytes(target, servers, services) / kBytesPerMegabyte);
}

}  // namespace lilacmux
