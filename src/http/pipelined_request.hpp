// A request that a client sent before the response to the one ahead of it.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "http/client_server.hpp"

namespace lilacmux {

// A request read ahead of its turn. What comes of it stands here until then.
class ClientServer::PipelinedRequest : public ResponseWriter {
 public:
  PipelinedRequest(std::shared_ptr<Connection> connection, RequestId number, const Call& what)
      : id(number), call(what), connection_(std::move(connection)) {}

  void answer(Response&& answer) override;
  void begin(const ResponseHead& head) override;
  void piece(std::string&& bytes) override;
  void finish() override;
  void abortStream() override;

  // Its turn has come: hands on what is there, and from here on all that comes.
  void becomeCurrent();
  bool ended() const { return answer_ || finished_ || broken_; }
  void forget() { connection_.reset(); }

  const RequestId id;
  const Call call;

 private:
  std::shared_ptr<Connection> connection_;  // until it has ended
  bool isCurrent_ = false;                  // its turn
  std::optional<Response> answer_;
  std::optional<ResponseHead> begun_;
  std::optional<std::string> piece_;
  bool finished_ = false, broken_ = false;
};

}  // namespace lilacmux
