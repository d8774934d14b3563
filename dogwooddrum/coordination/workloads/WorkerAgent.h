/** \file
 * Defines WorkerAgent, the decisions of the agent beside a target: which
 * orders to send, until when leases hold, and what to report. Pure.
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
  /** Pause before an order without a clear answer is sent again. */
  base::Duration mOrderRetry = base::Milliseconds(100);
  /** A start with less of its lease left waits for the next grant. */
  base::Duration mLeastLease = base::Milliseconds(500);
};

/** An order that is due. */
struct OrderCall
{
  bool mIsStart = false;
  protocol::StartOrder mStart; ///< for a stop, only mRun is set
  protocol::FencingToken mFence;
  protocol::TargetLife mLife;
  std::int64_t mLeaseUntilMs = 0; ///< on the target's clock, for a start
};

/** How a target answered an order. */
enum class OrderOutcome : std::uint8_t
{
  Done,
  Rejected, ///< this copy was not carried out
  Later,    ///< not carried out, and worth another try
  Unknown,  ///< it may be carried out, also later
};

/** Lease and acknowledgement for the next renewal. */
struct Renewal
{
  protocol::FencingToken mFence;
  protocol::TargetLife mLife;
  std::uint64_t mAcknowledged = 0;
  std::optional<std::int64_t> mLeaseUntilMs; ///< on the target's clock
};

/**
 * The agent's state. A start stays due until the target has taken it or the
 * leader has withdrawn it. A start that was rejected is followed by a stop of
 * the same run: once that is answered and the run is not listed, a copy that
 * is still under way cannot start it any more. Thread safety: none.
 */
class WorkerAgent
{
public:
  explicit WorkerAgent(const WorkerAgentOptions& aOptions);

  /** The target announced itself; aSequence rises within a life. Returns
   * whether anything but the sequence changed. */
  bool OnAnnounced(const protocol::TargetFacts& aFacts,
                   std::uint64_t aSequence,
                   base::Time aNow);
  /** The instance's life has ended. */
  void OnLeft(const std::string& aInstance);
  /** Orders of the leader; older ones than those in force are ignored. */
  void OnOrders(const protocol::WorkerOrders& aOrders, base::Time aNow);
  /** The target listed its runs; aCalledAt: before the call was sent. Returns
   * whether a run started or ended since the listing before. */
  bool OnListing(const protocol::TargetLife& aLife,
                 std::int64_t aClockMs,
                 std::vector<protocol::RunningTask> aRunning,
                 std::vector<protocol::EndedTask> aEnded,
                 base::Time aCalledAt,
                 base::Time aNow);

  /** Returns the next order to send, if one is due. It is in flight until
   * OnAnswered. */
  std::optional<OrderCall> NextOrder(base::Time aNow);
  /** Returns when NextOrder may have an order, if only time has to pass. */
  std::optional<base::Time> NextOrderAt() const;
  void OnAnswered(const OrderCall& aCall,
                  OrderOutcome aOutcome,
                  const std::string& aMessage,
                  base::Time aNow);

  /** Returns the next renewal; none without a target or a leader. */
  std::optional<Renewal> NextRenewal(base::Time aNow) const;
  /** Returns the report to send at aNow. */
  protocol::WorkerReport MakeReport(base::Time aNow);

  /** Returns the target's facts, or null. */
  const protocol::TargetFacts* Target() const;

private:
  struct StartState
  {
    protocol::StartOrder mOrder;
    bool mTaken = false;    ///< answered as started
    bool mRejected = false; ///< given up; a stop follows
    std::string mWhy;
    base::Time mNextTry;
  };
  struct StopState
  {
    bool mOrdered = false; ///< by the leader; else it follows a rejection
    std::optional<base::Time> mAnsweredAt;
    base::Time mNextTry;
  };

  std::int64_t ToTargetClock(base::Time aTime) const;
  void ForgetLife();
  bool FindNeverRan(base::Time aCalledAt);

  const WorkerAgentOptions mOptions;
  std::uint64_t mReportSequence = 0;

  std::optional<protocol::TargetFacts> mTarget;
  std::uint64_t mAnnounced = 0; ///< newest sequence of this life
  base::Time mAnnouncedAt;
  std::vector<protocol::PastLife> mPastLives;

  base::Term mTerm;
  std::uint64_t mOrderSequence = 0;
  protocol::FencingToken mFence; ///< of this life; 0: no orders for it yet
  base::Time mLeaseUntil;
  std::uint64_t mAcknowledged = 0;
  std::map<protocol::RunId, StartState> mStarts;
  std::map<protocol::RunId, StopState> mStops;
  std::set<protocol::RunId> mInFlight;
  std::map<protocol::RunId, std::string> mNeverRan;

  bool mListed = false;
  std::vector<protocol::RunningTask> mRunning;
  std::vector<protocol::EndedTask> mEnded;
  std::int64_t mClockMs = 0; ///< the target's clock at mClockAt or before
  base::Time mClockAt;
};

} // namespace dogwooddrum::coordination::workloads
