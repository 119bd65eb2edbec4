// Decides whose response the bytes of a connection to a server are, and whether the connection may carry
// another request. The one place for this rule (docs/design/responses.md): a response belongs to the attempt
// under way only if its head can be read in one way only and names that attempt, and if its body holds no
// head of another. What is not proved is never a success. A state machine without a socket or a clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/appended_response.hpp"
#include "http/http.hpp"
#include "upstream/response_reader.hpp"

namespace lilacmux {

class ResponseAttribution {
 public:
  enum class HeadVerdict {
    ours,
    interim,    // a 1xx; the response is still to come
    surplus,    // it answers an earlier attempt, and goes to nobody
    untrusted,  // nobody can tell whose it is
  };
  enum class EndVerdict {
    whole,
    undecided,  // the body's last bytes may begin another response: what follows them tells
    joined,     // the body's last bytes are another response's
  };

  // `reader` must outlive this.
  explicit ResponseAttribution(const ResponseReader& reader) : reader_(reader) {}

  // An attempt begins that gave this id; empty: none.
  void begin(std::string attemptId);
  // The head of the next response has come. `endsWithConnection`: nothing else tells its length.
  HeadVerdict examineHead(const http::response_header<>& head, bool endsWithConnection);
  // The next bytes of its body. False: another response's are among them.
  bool examineBody(std::string_view bytes);
  // The body has come to its end, and `behind` after it. `isLast`: nothing more is awaited.
  EndVerdict examineEnd(std::string_view behind, bool isLast);
  // How many of the body's last bytes may be another response's.
  std::size_t heldBack() const { return scanner_.undecided(); }
  // The bytes held back are the body's own.
  void releaseHeldBack() { scanner_ = {}; }

  bool isSurplus() const { return isSurplus_; }
  // Whether nothing but the awaited response has come since begin().
  bool isClean() const { return isClean_; }

 private:
  bool isUnambiguous(const http::response_header<>& head) const;

  const ResponseReader& reader_;
  std::string attemptId_;
  AppendedResponseScanner scanner_;
  bool scansBody_ = false;
  bool endsWithConnection_ = false;
  bool isSurplus_ = false;
  bool isClean_ = true;
  unsigned passedOver_ = 0;  // responses ahead of the awaited one
};

}  // namespace lilacmux
