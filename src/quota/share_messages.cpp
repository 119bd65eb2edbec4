#include "quota/share_messages.hpp"

namespace lilacmux {

std::string nameWithoutIncarnation(const std::string& holder) { return holder.substr(0, holder.find('#')); }

}  // namespace lilacmux
