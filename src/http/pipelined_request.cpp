#include "http/pipelined_request.hpp"

#include <utility>

#include "http/client_connection.hpp"

namespace lilacmux {

void ClientServer::PipelinedRequest::answer(Response&& answer) {
  if (isCurrent_ && connection_) return std::exchange(connection_, nullptr)->answer(std::move(answer));
  answer_ = std::move(answer);
}

void ClientServer::PipelinedRequest::begin(const ResponseHead& head) {
  if (isCurrent_ && connection_) return connection_->begin(head);
  begun_ = head;
}

void ClientServer::PipelinedRequest::piece(std::string&& bytes) {
  if (isCurrent_ && connection_) return connection_->piece(std::move(bytes));
  piece_ = std::move(bytes);
}

void ClientServer::PipelinedRequest::finish() {
  if (isCurrent_ && connection_) return std::exchange(connection_, nullptr)->finish();
  finished_ = true;
}

void ClientServer::PipelinedRequest::abortStream() {
  if (isCurrent_ && connection_) return std::exchange(connection_, nullptr)->abortStream();
  broken_ = true;
}

void ClientServer::PipelinedRequest::becomeCurrent() {
  isCurrent_ = true;
  const auto connection = connection_;
  if (ended()) connection_.reset();
  if (answer_) return connection->answer(std::move(*answer_));
  if (!begun_) return;
  connection->begin(*begun_);
  if (broken_) return connection->abortStream();
  if (piece_) return connection->piece(std::move(*piece_));  // one at most: the next is asked for
  if (finished_) connection->finish();
}

}  // namespace lilacmux
