// How an answer finds its call: the caller numbers its frames, an answer carries its call's number back.
#pragma once

namespace lilacmux {

constexpr const char* kCallNumber = "#";  // key in a frame's head

}  // namespace lilacmux
