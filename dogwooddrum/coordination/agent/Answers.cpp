#include "dogwooddrum/coordination/agent/AgentState.h"

#include <algorithm>

namespace dogwooddrum::coordination::agent {

using protocol::AnswerChunk;
using protocol::TaskKey;

namespace {

/** Returns the bytes of an answer that are sent and not received. An empty
 * answer counts as one byte, so that the number of answers in flight is bounded
 * as well. */
std::uint64_t
InFlightBytes(const AgentTask& aTask)
{
  if (!aTask.mSending) {
    return 0;
  }
  return std::max<std::uint64_t>(
    aTask.mNextOffset - std::min(aTask.mNextOffset, aTask.mReceivedBytes), 1);
}

} // namespace

void
Agent::Impl::QueueAnswer(AgentTask& aTask)
{
  mHeldAnswerBytes += aTask.mAnswer.size();
  mAnswersToSend.insert(aTask.mReport.mKey);
  mUnackedAnswers.insert(aTask.mReport.mKey);
}

void
Agent::Impl::SendAnswerChunks(base::Time aNow)
{
  while (!mAnswersToSend.empty() &&
         mInFlightAnswerBytes < mOptions.mAnswerWindow) {
    const TaskKey key = *mAnswersToSend.begin();
    AgentTask& task = *FindTask(key);
    mInFlightAnswerBytes -= InFlightBytes(task);
    AnswerChunk chunk;
    chunk.mIncarnation = mOptions.mIncarnation;
    chunk.mKey = key;
    chunk.mOffset = task.mNextOffset;
    chunk.mTotalBytes = task.mAnswer.size();
    chunk.mChecksum = task.mReport.mAnswerChecksum;
    chunk.mBytes =
      task.mAnswer.substr(task.mNextOffset, protocol::kMaxChunkBytes);
    task.mNextOffset += chunk.mBytes.size();
    task.mSending = true;
    task.mLastSent = aNow;
    mInFlightAnswerBytes += InFlightBytes(task);
    mOutput.mMessages.emplace_back(std::move(chunk));
    if (task.mNextOffset >= task.mAnswer.size()) {
      mAnswersToSend.erase(key);
    }
  }
}

void
Agent::Impl::ResendAnswers(base::Time aNow)
{
  for (const TaskKey& key : mUnackedAnswers) {
    AgentTask& task = *FindTask(key);
    if (!task.mSending || aNow - task.mLastSent < mOptions.mResendInterval) {
      continue;
    }
    // If the leader has the whole answer, resending the last chunk makes it
    // send another ack; the ack of a new leader says how much that one has.
    mInFlightAnswerBytes -= InFlightBytes(task);
    const std::uint64_t size = task.mAnswer.size();
    const std::uint64_t last =
      size > protocol::kMaxChunkBytes ? size - protocol::kMaxChunkBytes : 0;
    task.mNextOffset = std::min(task.mReceivedBytes, last);
    task.mSending = false;
    mAnswersToSend.insert(key);
  }
  SendAnswerChunks(aNow);
}

void
Agent::Impl::DropAnswer(AgentTask& aTask)
{
  if (mUnackedAnswers.erase(aTask.mReport.mKey) == 0) {
    return;
  }
  mInFlightAnswerBytes -= InFlightBytes(aTask);
  mHeldAnswerBytes -= aTask.mAnswer.size();
  mAnswersToSend.erase(aTask.mReport.mKey);
  aTask.mSending = false;
  aTask.mAnswer = std::string();
}

void
Agent::OnAnswerAck(const protocol::AnswerAck& aAck, base::Time aNow)
{
  AgentTask* task = mImpl->FindTask(aAck.mKey);
  if (task == nullptr || mImpl->mUnackedAnswers.count(aAck.mKey) == 0 ||
      aAck.mTerm < mImpl->mHighestTerm) {
    // A deposed leader that lacks the attempt acks its answer as durable,
    // though the answer is stored nowhere else.
    return;
  }
  if (aAck.mDurable) {
    mImpl->Forget(aAck.mKey, aNow);
  } else {
    mImpl->mInFlightAnswerBytes -= InFlightBytes(*task);
    task->mReceivedBytes =
      std::min<std::uint64_t>(aAck.mReceived, task->mAnswer.size());
    task->mLastSent = aNow;
    mImpl->mInFlightAnswerBytes += InFlightBytes(*task);
  }
  mImpl->SendAnswerChunks(aNow);
}

} // namespace dogwooddrum::coordination::agent
