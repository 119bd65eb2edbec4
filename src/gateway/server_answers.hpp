// How a server's answers are read, by PROTOCOL: only `X-Not-Executed` and 421 say that it has not run, and a
// success counts only with the server's stamp and without an encoding.
#pragma once

#include "node/worker_pool.hpp"

namespace lilacmux {

class ServerAnswers : public burlwind::AnswerReader {
 public:
  // By the `X-Attempt-Id` that servers carry back. An answer without one, or with several, is nobody's.
  Belongs belongs(const burlwind::http::response_header<>& head, const std::string& id) const override;
  irisring::Result read(const burlwind::http::response_header<>& head,
                        irisring::Outcome& outcome) const override;
  burlwind::http::fields fieldsOf(const burlwind::http::response_header<>& head) const override;
  bool goesOn(irisring::Result result) const override {
    return result == irisring::Result::ok || result == irisring::Result::error;
  }
};

// Whether the field concerns one connection only.
bool ofConnection(const burlwind::http::fields& fields, burlwind::beast::string_view name);

}  // namespace lilacmux
