// Finds the head of a second response among the bytes of a response's body.
//
// A faulty server may send a response twice, or cut one off and send it again on the same connection. Where
// the connection's end is the body's end, or a told length has not come yet, the second response's bytes
// count as part of the first one's body. The scanner looks for their head and says up to where the bytes are
// certainly the body's own. A state machine without a socket; work is linear in the body but for bytes of a
// possible head, which are looked at again with each read, 16 KiB at most.
//
// What it cannot know: bytes that begin no head may be appended, too. Nothing on the wire tells those apart.
// The price: a body that holds such a head itself, lines ended by CR LF, counts as broken off. Without an
// attempt field that is each whole head of HTTP/1, and a body that ends with the beginning of one.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lilacmux {

// What stands at the front of some bytes.
enum class HeadMatch { none, partial, whole };
// Whether `bytes` begin with the head of an HTTP/1 response: status line, fields, an empty line. With an
// `attemptField`, only a head that has that field matches, itself or behind interim ones (1xx), and it is
// whole from that field's line on.
HeadMatch matchResponseHead(std::string_view bytes, std::string_view attemptField = {});

// Whether a response's status line stands anywhere in `text`, up to the status.
bool containsStatusLine(std::string_view text);

class AppendedResponseScanner {
 public:
  AppendedResponseScanner() = default;
  // Finds only heads that have this field.
  explicit AppendedResponseScanner(std::string_view attemptField) : attemptField_(attemptField) {}

  // The next bytes of the body.
  void feed(std::string_view bytes);
  // Whether the head of another response has come.
  bool found() const { return found_; }
  // How many of the last bytes may be the begin of such a head; 0 once no more is open.
  std::size_t undecided() const { return candidate_.size(); }
  // What the undecided bytes are if `behind` follows the body.
  HeadMatch matchAcross(std::string_view behind) const;
  // Whether the undecided bytes hold a status line, up to the status.
  bool hasStatusLine() const { return containsStatusLine(candidate_); }

 private:
  void scan(std::string_view bytes);
  HeadMatch match(std::string_view bytes) const;

  std::string attemptField_;
  std::string candidate_;
  bool found_ = false;
};

}  // namespace lilacmux
