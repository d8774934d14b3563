/** \file
 * Defines the strong id types used in all packages.
 */
#pragma once

#include "dogwooddrum/base/StrongType.h"

#include <cstdint>
#include <string>

namespace dogwooddrum::base {

/** Raft term of a control group. */
using Term = StrongType<struct TermTag, std::uint64_t>;
/** Index in the replicated log; 0 is the index before the first entry. */
using LogIndex = StrongType<struct LogIndexTag, std::uint64_t>;
/** Id of one control member; not reused after its disk was lost. */
using MemberId = StrongType<struct MemberIdTag, std::uint64_t>;
/** Job number, assigned by the replicated state in commit order. */
using JobId = StrongType<struct JobIdTag, std::uint64_t>;
/** Attempt number within a job; the first is 1. */
using AttemptId = StrongType<struct AttemptIdTag, std::uint32_t>;
/** Index of a task within its gang; the first is 0. */
using TaskIndex = StrongType<struct TaskIndexTag, std::uint32_t>;
/** Random number that identifies one run of an agent process. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/** Version of the accepted configuration; each change adds one. */
using ConfigurationVersion = StrongType<struct VersionTag, std::uint64_t>;
/** Correlates a request with its reply on one link. */
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;

/** Name of a worker, unique in its region. */
using WorkerId = StrongType<struct WorkerIdTag, std::string>;
/** Name of a rack, unique in its region. */
using RackId = StrongType<struct RackIdTag, std::string>;
/** Name of an availability zone. */
using ZoneId = StrongType<struct ZoneIdTag, std::string>;
/** Name of a client account. */
using AccountId = StrongType<struct AccountIdTag, std::string>;
/** Name of a profile. */
using ProfileId = StrongType<struct ProfileIdTag, std::string>;
/** Idempotency key of a submission, unique within its client account. */
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;
/** Id that an operator assigns to one configuration change. */
using ChangeId = StrongType<struct ChangeIdTag, std::string>;

} // namespace dogwooddrum::base
