/** \file
 * Defines Outbox, which collects persistence work and delays messages until
 * the work they depend on is durable.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"

#include <deque>
#include <utility>
#include <vector>

namespace dogwooddrum::coordination::consensus {

/** Persistence work and messages of one member. Thread safety: none. */
class Outbox
{
public:
  /** aLast: last index that is durable at the start. */
  explicit Outbox(base::LogIndex aLast)
    : mSyncedIndex(aLast)
  {
  }

  // Adds work for the log thread, in the order of the calls.
  void Append(const LogEntry& aEntry);
  void TruncateFrom(base::LogIndex aFrom);
  /** aKeepSuffix: whether entries after the snapshot are kept. */
  void Install(const Snapshot& aSnapshot, bool aKeepSuffix);
  void SetHardState(const HardState& aHardState);

  /** Queues a message for the next Ready. */
  void Send(Message aMessage);
  /** Queues a message until all work added so far is durable. */
  void SendWhenDurable(Message aMessage);

  /** Marks aId and earlier work as durable and releases messages. */
  void OnPersisted(PersistId aId);
  /** Discards all work and messages, after a storage failure. */
  void Abandon();

  /** Returns the last index up to which the log is durable. */
  base::LogIndex SyncedIndex() const { return mSyncedIndex; }
  /** Returns whether the newest term and vote are durable. */
  bool IsHardStateDurable() const { return mHardStateId <= mLastDurableId; }

  /** Moves collected work and sendable messages into aReady. */
  void MoveInto(Ready& aReady);

private:
  struct OutstandingWork
  {
    PersistId mId;
    base::LogIndex mLastIndex; ///< end of the log once this is durable
  };

  /** Returns the work being collected; creates it if there is none. */
  PersistWork& PendingWork();
  PersistId NextId() const { return PersistId(mLastIssuedId.Value() + 1); }

  PersistId mLastIssuedId;  ///< newest id returned to the host
  PersistId mLastDurableId; ///< newest durable id
  PersistId mHardStateId;
  base::LogIndex mSyncedIndex;
  std::optional<PersistWork> mPendingWork;
  std::deque<OutstandingWork>
    mOutstandingWork; ///< the last may be mPendingWork
  std::deque<std::pair<PersistId, Message>> mHeldMessages;
  std::vector<Message> mSendableMessages;
};

} // namespace dogwooddrum::coordination::consensus
