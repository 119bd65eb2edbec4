#include "fleet/bulk_pacer.hpp"

namespace lilacmux {
namespace {

std::size_t configurationBytes(const ChangeLog::News& news) {
  if (news.packed) return news.packed->bytes.size();
  return news.configuration ? news.configuration->size() : 0;
}

std::size_t serverBytes(const ChangeLog::News& news) {
  if (news.packedSet) return news.packedSet->bytes.size();
  return (news.set.size() + news.gone.size()) * BulkPacer::kEntryBytes;
}

// The follower keeps the servers that it has.
void leaveOutServers(const FollowCall& call, FollowAnswer& answer) {
  ChangeLog::News& news = answer.news;
  news.listed = news.servers = news.snapshot = false;
  news.place = call.at.epoch == answer.epoch ? call.at.place : 0;
  news.set.clear();
  news.packedSet.reset();
  news.gone.clear();
  answer.listAgeMs.reset();
}

}  // namespace

void BulkPacer::pace(Millis now, const FollowCall& call, FollowAnswer& answer) {
  ChangeLog::News& news = answer.news;
  const std::size_t configuration = configurationBytes(news);
  const std::size_t servers = serverBytes(news);
  const bool isBulk = configuration + servers >= kBulk;
  if (!isBulk || link_.queue(now) <= kQueue) return link_.passed(now, configuration + servers);
  if (configuration >= kBulk / 2) {
    news.configuration.reset();
    news.packed.reset();
  }
  if (servers >= kBulk / 2) leaveOutServers(call, answer);
}

}  // namespace lilacmux
