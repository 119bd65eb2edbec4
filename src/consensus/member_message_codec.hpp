// Encodes messages between members as frames and decodes them. The keys and kinds in frames are fixed,
// because different versions run side by side during a roll-out.
#pragma once

#include <optional>

#include "consensus/member_message.hpp"
#include "net/frame.hpp"

namespace lilacmux {

void to_json(nlohmann::json& out, const ReplicaSet& replicaSet);
void from_json(const nlohmann::json& in, ReplicaSet& replicaSet);

Frame toFrame(const MemberMessage& message);
// Returns nullopt if the frame is not a message between members or is malformed.
std::optional<MemberMessage> decodeMemberMessage(Frame&& frame);

}  // namespace lilacmux
