/** \file
 * Defines WorkerAgent, the logic of the agent next to a workload target: which
 * orders to send, until when leases hold, and what to report. It does no I/O
 * and reads no clock.
 */
#pragma once

#include "dogwooddrum/base/Time.h"
#include "dogwooddrum/protocol/WorkloadMessages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::coordination::workloads {

struct WorkerAgentOptions
{
  base::Incarnation mIncarnation;
  std::string mName;
  /** Delay before an order without a definite answer is sent again. */
  base::Duration mOrderRetryDelay = base::Milliseconds(100);
  /** A start is not sent with less remaining lease; it waits for the next
   * grant. */
  base::Duration mMinLease = base::Milliseconds(500);
  /** A start is not sent if the newest list was called earlier: the target may
   * have restarted since, and its next incarnation would take a lease that is
   * longer than the leader granted. Longer than two lists take. */
  base::Duration mMaxListAge = base::Milliseconds(1000);
};

/** An order to be sent to the target. */
struct OrderCall
{
  bool mIsStart = false;
  protocol::StartOrder mStart; ///< for a stop, only mRun is set
  protocol::FencingToken mFencingToken;
  protocol::TargetIncarnation mTargetIncarnation;
  std::int64_t mLeaseUntilMs = 0; ///< on the target's clock, for a start
};

/** How a target answered an order. */
enum class OrderOutcome : std::uint8_t
{
  Done,
  Rejected,  ///< this copy was not executed and will not be
  Retryable, ///< not executed, and may be sent again
  Unknown,   ///< may have been executed, or may be executed later
};

/** A call that shows whether an announced target answers under its id. It
 * renews no lease and acknowledges no end. */
struct TargetProbe
{
  protocol::TargetIncarnation mTargetIncarnation;
  std::string mAddress;
  protocol::FencingToken mFencingToken;
};

/** Lease and acknowledgement for the next renewal. */
struct Renewal
{
  protocol::FencingToken mFencingToken;
  protocol::TargetIncarnation mTargetIncarnation;
  std::uint64_t mAcknowledged = 0;
  std::optional<std::int64_t> mLeaseUntilMs; ///< on the target's clock
};

/**
 * The agent's state. A start stays due until the target has accepted it or the
 * leader has withdrawn it. A rejected start is followed by a stop of the same
 * run: once the stop is answered and the run is not listed, no copy of the
 * start that is still in flight can start the run any more.
 *
 * An announcement alone ends no target: it may be late, of another writer, or
 * of a VM whose clock was set back, so that start times give no order. Another
 * target that announces itself is a candidate, which is probed. It replaces the
 * present one once it answers at the same address or under the same id, or once
 * it answers and the present one refuses connections. Both show that the
 * present one has ended. It also replaces one that is silent beyond the end of
 * its lease, whose runs are left to the leader. Thread safety: none.
 */
class WorkerAgent
{
public:
  explicit WorkerAgent(const WorkerAgentOptions& aOptions);

  /** Handles an announcement by a target; aSequence rises within an
   * incarnation, aAddress is where the target takes calls. Returns whether
   * anything but the sequence of the present target changed. */
  bool OnAnnounced(const protocol::TargetInfo& aTargetInfo,
                   std::uint64_t aSequence,
                   base::Time aNow,
                   const std::string& aAddress = {});
  /** Returns the next candidate to probe, if one is due. It is in flight until
   * OnProbed. */
  std::optional<TargetProbe> NextProbe(base::Time aNow);
  /** Handles a call that a target rejected since it had seen a higher fencing
   * token than aRejected. An earlier process of this agent may have used one,
   * as start times do not rise on a VM whose clock was set back. Raises the
   * token, by more with each rejection. */
  void OnTokenRejected(protocol::FencingToken aRejected);
  bool HasCandidates() const { return !mCandidates.empty(); }
  /** Handles the result of a probe: whether that incarnation has answered.
   * Returns whether a candidate has replaced the present target. */
  bool OnProbed(const protocol::TargetIncarnation& aTargetIncarnation,
                bool aHasAnswered,
                base::Time aNow);
  /** Returns why OnAnnounced ignores this announcement as outdated, or null.
   */
  const char* WhyDrops(const protocol::TargetInfo& aTargetInfo,
                       std::uint64_t aSequence) const;
  /** Returns why OnLeaveMessage ignores this instance, or null. */
  const char* WhyDropsLeaveMessage(const std::string& aInstance) const;
  /** Handles a message of the instance that its planned end has come. No run
   * is given up yet: the message names no incarnation, so that it may be a late
   * one, and a target that gets no answer to it runs on for seconds. Until the
   * target announces that it is ready, it gets no starts. */
  void OnLeaveMessage(const std::string& aInstance, base::Time aNow);
  /** Handles a refused connection to the target, called at aCalledAt. Returns
   * whether this shows that the target has ended, as its planned end had come
   * before or a candidate has answered. A single refusal may be a reset of a
   * connection that was being opened, so that two calls without a list between
   * them are needed. */
  bool OnConnectionRefused(
    const protocol::TargetIncarnation& aTargetIncarnation,
    base::Time aCalledAt);
  /** Replaces the orders by newer ones of the leader; older ones are ignored.
   */
  void OnOrders(const protocol::WorkerOrders& aOrders, base::Time aNow);
  /** Handles a list of the target's runs; aCalledAt: time before the call was
   * sent. Returns whether a run started or ended since the previous list. */
  bool OnListing(const protocol::TargetIncarnation& aTargetIncarnation,
                 std::int64_t aClockMs,
                 std::vector<protocol::RunningTask> aRunning,
                 std::vector<protocol::EndedTask> aEnded,
                 base::Time aCalledAt,
                 base::Time aNow);

  /** Returns the next order to send, if one is due. It is in flight until
   * OnAnswered. */
  std::optional<OrderCall> NextOrder(base::Time aNow);
  /** Returns the time at which NextOrder may return an order without another
   * event before; none if no order is outstanding. */
  std::optional<base::Time> NextOrderAt() const;
  void OnAnswered(const OrderCall& aCall,
                  OrderOutcome aOutcome,
                  const std::string& aMessage,
                  base::Time aNow);

  /** Returns the next renewal; none without a target or a leader. */
  std::optional<Renewal> NextRenewal(base::Time aNow) const;
  /** Returns the report to send at aNow. */
  protocol::WorkerReport MakeReport(base::Time aNow);

  /** Returns the target's last announced description, or null. */
  const protocol::TargetInfo* Target() const;
  /** Returns the address that the target announced. */
  const std::string& TargetAddress() const { return mAddress; }

private:
  struct StartState
  {
    protocol::StartOrder mOrder;
    bool mAccepted = false; ///< the target answered that it started the run
    bool mMayRun = false;   ///< sent, and the target may have executed it
    bool mRejected = false; ///< not sent any more; a stop follows
    std::string mReason;
    base::Time mNextTry;
  };
  struct StopState
  {
    bool mOrdered = false; ///< by the leader; else after a rejected start
    std::optional<base::Time> mAnsweredAt;
    base::Time mNextTry;
  };

  /** A target that announced itself while another one was present. */
  struct Candidate
  {
    protocol::TargetInfo mTargetInfo;
    std::uint64_t mSequence = 0;
    std::string mAddress;
    base::Time mAnnouncedAt;
    base::Time mNextProbe;
    bool mInFlight = false;
    bool mHasAnswered = false;
  };

  std::int64_t ToTargetClock(base::Time aTime) const;
  bool UpdatePresent(const protocol::TargetInfo& aTargetInfo,
                     std::uint64_t aSequence,
                     base::Time aNow);
  void SetTarget(const Candidate& aCandidate);
  bool ReplaceBy(const Candidate& aCandidate, base::Time aNow);
  bool ReplaceByAnyCandidate(base::Time aNow);
  bool HasRefusedConnections() const;
  bool IsSilent(base::Time aNow) const;
  void RecordEnd(bool aHasCrashed);
  void ResetTarget();
  std::vector<protocol::RunId> RunsThatMayRun() const;
  bool UpdateNeverRan(base::Time aCalledAt);
  void RejectPendingStarts(const std::string& aReason);
  bool MayStart(base::Time aNow) const;

  const WorkerAgentOptions mOptions;
  std::uint64_t mReportSequence = 0;

  std::optional<protocol::TargetInfo> mTarget;
  std::string mAddress;                ///< of mTarget
  std::uint64_t mAnnounceSequence = 0; ///< newest from mTarget
  std::vector<Candidate> mCandidates;
  base::Time mAnnouncedAt;
  std::optional<base::Time> mLeaveMessageAt; ///< see OnLeaveMessage
  unsigned mRefusals = 0; ///< connections refused since the last list
  std::vector<protocol::EndedIncarnation> mEndedIncarnations;

  base::Term mTerm;
  std::uint64_t mOrderSequence = 0;
  protocol::FencingToken
    mFencingToken;              ///< for mTarget; 0: no orders for it yet
  std::uint64_t mTokenStep = 0; ///< by which mFencingToken was last raised
  base::Time mLeaseUntil;
  base::Time mStartsUntil; ///< of mStarts; 0: no limit
  std::uint64_t mAcknowledged = 0;
  std::map<protocol::RunId, StartState> mStarts;
  std::map<protocol::RunId, StopState> mStops;
  std::set<protocol::RunId> mInFlight;
  std::map<protocol::RunId, std::string> mNeverRan;

  bool mHasRunLists = false;
  std::vector<protocol::RunningTask> mRunning;
  std::vector<protocol::EndedTask> mEnded;
  std::int64_t mClockMs = 0; ///< the target's clock at mClockAt or before
  base::Time mClockAt;
  base::Time mListCalledAt; ///< when the newest list was called
};

} // namespace dogwooddrum::coordination::workloads
