/** \file
 * Defines the requests of callers and operators, which an entry forwards to the
 * leader, and the replies.
 */
#pragma once

#include "dogwooddrum/base/Ids.h"
#include "dogwooddrum/base/Reason.h"
#include "dogwooddrum/protocol/ConfigurationMessages.h"
#include "dogwooddrum/protocol/JobMessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwooddrum::protocol {

// Requests.

struct SubmitRequest
{
  JobSpec mSpec;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSpec);
  }
};

/** Requests a job's view. The leader replies when the job has ended, at the
 * latest after mWaitMs. */
struct PollRequest
{
  base::JobId mJob;
  std::uint64_t mWaitMs = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mWaitMs);
  }
};

/** Requests bytes of a stored answer, from mOffset on. */
struct AnswerRequest
{
  base::JobId mJob;
  std::uint64_t mOffset = 0;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob, mOffset);
  }
};

struct CancelRequest
{
  base::JobId mJob;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob);
  }
};

/** Reports that the caller has the whole answer; the leader may drop it. */
struct AcknowledgeRequest
{
  base::JobId mJob;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob);
  }
};

/** Lists jobs of an account in id order, after mAfter, at most mLimit. */
struct ListRequest
{
  base::AccountId mAccount; ///< empty lists all accounts
  base::JobId mAfter;
  std::uint32_t mLimit = 100;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount, mAfter, mLimit);
  }
};

struct ShowConfigurationRequest
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

/** Requests the leader's status text: members, workers, holders, queue. */
struct StatusRequest
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

/** Requests the reason why a job waits, or how it ended. */
struct ExplainRequest
{
  base::JobId mJob;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJob);
  }
};

/** Adds, promotes or removes one control member. */
struct MemberRequest
{
  enum class Kind : std::uint8_t
  {
    AddLearner,
    Promote,
    Remove,
  };
  Kind mKind = Kind::AddLearner;
  base::MemberId mMember;
  std::string mAddress; ///< ip:port of its control link; for AddLearner
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mMember, mAddress);
  }
};

using ClientRequestBody = std::variant<SubmitRequest,
                                       PollRequest,
                                       AnswerRequest,
                                       CancelRequest,
                                       AcknowledgeRequest,
                                       ListRequest,
                                       ChangeRequest,
                                       ShowConfigurationRequest,
                                       StatusRequest,
                                       ExplainRequest,
                                       MemberRequest>;

/** Sent by an entry to control. Resent with the same mId after a change of
 * leader. */
struct ClientRequest
{
  base::RequestId mId;
  ClientRequestBody mBody;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mBody);
  }
};

// Replies.

/** The request was refused or failed. */
struct Refusal
{
  base::Reason mReason = base::Reason::None;
  base::Ran mRan = base::Ran::NotRun;
  bool mRetryable = false;
  std::uint64_t mRetryAfterMs = 0;
  std::string mMessage; ///< names the invalid value
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReason, mRan, mRetryable, mRetryAfterMs, mMessage);
  }
};

/** Reply of a member that is not the leader; mLeader may be out of date. */
struct NotLeader
{
  base::MemberId mLeader;     ///< 0 if unknown
  std::string mLeaderAddress; ///< empty if unknown
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeader, mLeaderAddress);
  }
};

struct AnswerPart
{
  std::uint64_t mOffset = 0;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mChecksum = 0; ///< xxhash64 of the whole answer
  std::string mBytes;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOffset, mTotalBytes, mChecksum, mBytes);
  }
};

struct JobList
{
  std::vector<JobView> mJobs;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJobs);
  }
};

/** JSON text for operators (status and explain). */
struct Report
{
  std::string mJson;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mJson);
  }
};

struct Done
{
  template<class Archive>
  void serialize(Archive&)
  {
  }
};

using ClientReplyBody = std::variant<JobView,
                                     Refusal,
                                     NotLeader,
                                     AnswerPart,
                                     JobList,
                                     ChangeOutcome,
                                     Configuration,
                                     Report,
                                     Done>;

struct ClientReply
{
  base::RequestId mId;
  base::Term mTerm;
  ClientReplyBody mBody;
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mTerm, mBody);
  }
};

} // namespace dogwooddrum::protocol
