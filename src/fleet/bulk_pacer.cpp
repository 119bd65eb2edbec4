#include "fleet/bulk_pacer.hpp"

namespace lilacmux {
namespace {

std::size_t configurationBytes(const ChangeLog::Delta& delta) {
  if (delta.packedConfiguration) return delta.packedConfiguration->bytes.size();
  return delta.configuration ? delta.configuration->size() : 0;
}

std::size_t serverBytes(const ChangeLog::Delta& delta) {
  if (!delta.servers) return 0;
  if (delta.servers->packedUpdated) return delta.servers->packedUpdated->bytes.size();
  return (delta.servers->updated.size() + delta.servers->removed.size()) * BulkPacer::kEstimatedServerBytes;
}

void omitConfiguration(FollowResponse& response) {
  response.delta.configuration.reset();
  response.delta.packedConfiguration.reset();
}

// Omits the server list; the follower retains its current servers and its position in the log.
void omitServers(const FollowRequest& request, FollowResponse& response) {
  response.delta.hasServerList = false;
  response.delta.servers.reset();
  response.delta.index = request.position.epoch == response.epoch ? request.position.index : 0;
  response.listAgeMs.reset();
}

}  // namespace

void BulkPacer::pace(Millis now, const FollowRequest& request, FollowResponse& response) {
  const std::size_t configuration = configurationBytes(response.delta);
  const std::size_t servers = serverBytes(response.delta);
  const bool isBulk = configuration + servers >= kMinBulkBytes;
  if (!isBulk || link_.queue(now) <= kMaxQueueMs) return link_.passed(now, configuration + servers);
  if (configuration >= kMinBulkBytes / 2) omitConfiguration(response);
  if (servers >= kMinBulkBytes / 2) omitServers(request, response);
}

}  // namespace lilacmux
