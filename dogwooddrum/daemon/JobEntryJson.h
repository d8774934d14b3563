/** \file
 * Parses and writes the JSON bodies of the HTTP interface for callers and
 * operators (design page, section 4.4).
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/protocol/Messages.h"

#include <string>

namespace dogwooddrum::daemon {

/** Deepest allowed nesting of a request body. */
constexpr unsigned kMaxJsonDepth = 16;

/** Returns the job in a POST /v1/jobs body, or InvalidRequest with the name of
 * the invalid field. A payload that is not a string is kept as JSON text. */
base::Outcome<protocol::JobSpec>
ParseJobSpec(const std::string& aBody);

/**
 * Returns the change in a POST /v1/configuration body:
 * {change_id, base_version, change}, where change has one of the members
 * account {name, guarantees: [{count, accelerators, level}],
 * requests_per_second, concurrent_requests}, profile {name, priority,
 * preemptible, interactive, may_wait, retry_budget, deadline_ms,
 * max_reserve_ms}, remove_account "name" and remove_profile "name".
 */
base::Outcome<protocol::ChangeRequest>
ParseChangeRequest(const std::string& aBody);

/** Returns the change in a POST /v1/workers/{id}/drain or readmit body:
 * {change_id, base_version}. */
base::Outcome<protocol::ChangeRequest>
ParseDrainRequest(const std::string& aBody,
                  const std::string& aWorker,
                  bool aDrain);

/** Returns the request in a POST /v1/members body:
 * {action: add|promote|remove, member, address}. */
base::Outcome<protocol::MemberRequest>
ParseMemberRequest(const std::string& aBody);

std::string
ToJson(const protocol::JobView& aView);
std::string
ToJson(const protocol::JobList& aList);
std::string
ToJson(const protocol::Refusal& aRefusal);
std::string
ToJson(const protocol::ChangeOutcome& aOutcome);
std::string
ToJson(const protocol::Configuration& aConfiguration);

/** Returns a checksum as 16 hexadecimal digits. */
std::string
ChecksumText(std::uint64_t aChecksum);

} // namespace dogwooddrum::daemon
