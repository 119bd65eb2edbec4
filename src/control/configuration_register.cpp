#include "control/configuration_register.hpp"

#include "settings/configuration.hpp"

namespace lilacmux {

Verdict ConfigurationRegister::decide(const ReplicatedState& committed, ChangeRequest&& request) const {
  const Digest digest = sha256(request.body);
  if (committed.accepted.contains(digest)) return AlreadyAccepted{};
  const auto read = parseConfiguration(request.body);
  if (const auto* reason = std::get_if<std::string>(&read)) return Invalid{*reason};
  const std::uint64_t revision = std::get<Configuration>(read).revision;
  if (revision <= request.baseRevision) return Invalid{"revision does not exceed the one it builds on"};
  if (committed.accepted.mayHaveCompacted(revision))
    return OutcomeUnknown{"a change of this revision may have been accepted too long ago to tell"};
  if (request.baseRevision < committed.revision) return Conflict{committed.revision};
  if (request.baseRevision > committed.revision)
    return OutcomeUnknown{"the version that it builds on is not in place"};
  ReplicatedState next = committed;
  ++next.sequence;
  next.revision = revision;
  next.body = std::make_shared<const std::string>(std::move(request.body));
  next.accepted.add({revision, digest}, capacity_);
  return Accept{std::move(next)};
}

}  // namespace lilacmux
