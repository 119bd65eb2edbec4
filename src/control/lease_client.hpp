// Sends grants and releases of keys to servers over HTTP. Each server has a connection for grants and one for
// releases, because a release is answered only when the work that runs on its keys has ended. A call that has
// waited here too long, or for which the primary's lease has ended, is not sent: `mayAct` is asked right
// before the write.
//
// Runs on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/instance.hpp"
#include "net/fetch.hpp"
#include "ownership/lease_manager.hpp"

namespace lilacmux {

class LeaseClient : public LeaseCaller {
 public:
  using Ended = std::function<void(std::uint64_t call, const LeaseCallResult& result)>;

  // `mayAct`: whether this process is the primary and holds its lease. `ended` is called once for each call.
  LeaseClient(boost::asio::io_context& io, std::function<bool()> mayAct, Ended ended);
  ~LeaseClient() override;
  LeaseClient(const LeaseClient&) = delete;
  LeaseClient& operator=(const LeaseClient&) = delete;

  // Where the servers are. Connections to servers that are not listed any more are dropped once idle.
  void setServers(const std::map<std::string, Instance>& servers);
  void send(const LeaseCall& call) override;

 private:
  struct QueuedCall {
    LeaseCall call;
    double queuedAt = 0;
  };
  struct Channel {
    std::unique_ptr<Fetcher> fetcher;
    std::deque<QueuedCall> queue;
    bool isBusy = false;
  };
  struct Server {
    boost::asio::ip::tcp::endpoint address;
    Channel grants, releases;
  };

  void sendNext(const std::string& server, LeaseCall::Kind kind);
  void end(const LeaseCall& call, const FetchOutcome& outcome);
  Channel* channelOf(const std::string& server, LeaseCall::Kind kind);

  boost::asio::io_context& io_;
  const std::function<bool()> mayAct_;
  const Ended ended_;
  std::map<std::string, Server> servers_;  // by instance id
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lilacmux
