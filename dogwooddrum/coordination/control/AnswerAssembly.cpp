#include "dogwooddrum/coordination/control/AnswerAssembly.h"

#include "dogwooddrum/coordination/control/Attempts.h"

#include <string_view>

namespace dogwooddrum::coordination::control {

using protocol::AnswerChunk;
using protocol::TaskKey;

namespace {

/** Largest size of the chunks that are not proposed yet. Agents limit what they
 * have in flight, so that only a fault can reach this bound. */
constexpr std::uint64_t kMaxAssemblyBytes = 128ULL << 20;

/** Returns whether the store has space for the whole of another answer.
 * Accepting only whole answers keeps partly stored ones from blocking each
 * other. */
bool
HasRoom(const CoordinatorCore& aCore, std::uint64_t aBytes)
{
  return aCore.mState.AnswerBytes() + aCore.mReservedAnswerBytes + aBytes <=
         aCore.mOptions.mMaxStoredAnswerBytes;
}

void
SendAnswerAck(CoordinatorCore& aCore,
              SessionId aSession,
              const TaskKey& aKey,
              bool aDurable,
              std::uint64_t aReceived)
{
  protocol::AnswerAck ack;
  ack.mTerm = aCore.mTerm;
  ack.mKey = aKey;
  ack.mDurable = aDurable;
  ack.mReceived = aReceived;
  Send(aCore, aSession, ack);
}

/** Returns the assembly of a task's answer, which is created if needed, or null
 * if the store has no space for the answer. */
AnswerAssembly*
FindOrAddAssembly(CoordinatorCore& aCore,
                  const AnswerChunk& aChunk,
                  const jobs::TaskRecord& aTask)
{
  const auto it = aCore.mAssemblies.find(aChunk.mKey);
  if (it != aCore.mAssemblies.end()) {
    return &it->second;
  }
  const std::uint64_t missing = aChunk.mTotalBytes - aTask.mAnswer.size();
  if (!HasRoom(aCore, missing)) {
    return nullptr; // The agent keeps its copy and resends it.
  }
  AnswerAssembly& assembly = aCore.mAssemblies[aChunk.mKey];
  assembly.mTotalBytes = aChunk.mTotalBytes;
  assembly.mChecksum = aChunk.mChecksum;
  assembly.mProposedBytes = aTask.mAnswer.size();
  assembly.mReservedBytes = missing;
  aCore.mReservedAnswerBytes += missing;
  return &assembly;
}

/** Adds the chunk's bytes to the assembly; duplicates change nothing. */
void
InsertChunk(CoordinatorCore& aCore,
            AnswerAssembly& aAssembly,
            const AnswerChunk& aChunk)
{
  const std::uint64_t assembled =
    aAssembly.mProposedBytes + aAssembly.mContiguous.size();
  const std::uint64_t end = aChunk.mOffset + aChunk.mBytes.size();
  if (end <= assembled) {
    return;
  }
  if (aChunk.mOffset > assembled) {
    const auto [it, added] =
      aAssembly.mOutOfOrderChunks.emplace(aChunk.mOffset, std::string());
    if (it->second.size() < aChunk.mBytes.size()) {
      aCore.mAssemblyBytes += aChunk.mBytes.size() - it->second.size();
      it->second = aChunk.mBytes;
    }
    return;
  }
  const std::string_view fresh =
    std::string_view(aChunk.mBytes).substr(assembled - aChunk.mOffset);
  aAssembly.mContiguous += fresh;
  aCore.mAssemblyBytes += fresh.size();
}

/** Appends the out-of-order chunks that the contiguous bytes now reach. */
void
AppendContiguousChunks(CoordinatorCore& aCore, AnswerAssembly& aAssembly)
{
  auto& pieces = aAssembly.mOutOfOrderChunks;
  while (!pieces.empty()) {
    const auto it = pieces.begin();
    const std::uint64_t assembled =
      aAssembly.mProposedBytes + aAssembly.mContiguous.size();
    if (it->first > assembled) {
      return;
    }
    const std::uint64_t skip = assembled - it->first;
    aCore.mAssemblyBytes -= it->second.size();
    if (skip < it->second.size()) {
      aAssembly.mContiguous += std::string_view(it->second).substr(skip);
      aCore.mAssemblyBytes += it->second.size() - skip;
    }
    pieces.erase(it);
  }
}

void
ProposeParts(CoordinatorCore& aCore,
             const TaskKey& aKey,
             AnswerAssembly& aAssembly)
{
  while (!aAssembly.mAllProposed) {
    const std::uint64_t assembled =
      aAssembly.mProposedBytes + aAssembly.mContiguous.size();
    const bool all = assembled == aAssembly.mTotalBytes;
    if (!all && aAssembly.mContiguous.size() < jobs::kMaxAnswerPartBytes) {
      return;
    }
    jobs::StoreAnswerPart part;
    part.mKey = aKey;
    part.mOffset = aAssembly.mProposedBytes;
    part.mTotalBytes = aAssembly.mTotalBytes;
    part.mChecksum = aAssembly.mChecksum;
    if (aAssembly.mContiguous.size() <= jobs::kMaxAnswerPartBytes) {
      part.mBytes = std::move(aAssembly.mContiguous);
      aAssembly.mContiguous.clear();
    } else {
      part.mBytes = aAssembly.mContiguous.substr(0, jobs::kMaxAnswerPartBytes);
      aAssembly.mContiguous.erase(0, jobs::kMaxAnswerPartBytes);
    }
    aCore.mAssemblyBytes -= part.mBytes.size();
    aAssembly.mProposedBytes += part.mBytes.size();
    aAssembly.mAllProposed = aAssembly.mProposedBytes == aAssembly.mTotalBytes;
    Propose(aCore, std::move(part));
  }
}

/** Returns the size of the job's answer, with the size that this chunk gives
 * for its task. */
std::uint64_t
JobAnswerBytes(const jobs::AttemptRecord& aAttempt, const AnswerChunk& aChunk)
{
  std::uint64_t bytes = aChunk.mTotalBytes;
  for (std::size_t i = 0; i < aAttempt.mTasks.size(); ++i) {
    if (i != aChunk.mKey.mTask.Value()) {
      bytes += aAttempt.mTasks[i].mTotalBytes;
    }
  }
  return bytes;
}

bool
IsWellFormed(const AnswerChunk& aChunk)
{
  return aChunk.mTotalBytes <= protocol::kMaxAnswerBytes &&
         aChunk.mBytes.size() <= protocol::kMaxChunkBytes &&
         aChunk.mOffset <= aChunk.mTotalBytes &&
         aChunk.mBytes.size() <= aChunk.mTotalBytes - aChunk.mOffset;
}

} // namespace

void
OnChunk(CoordinatorCore& aCore, SessionId aSession, const AnswerChunk& aChunk)
{
  const TaskKey& key = aChunk.mKey;
  const jobs::JobRecord* job = aCore.mState.Find(key.mJob);
  LiveAttempt* attempt = FindAttempt(aCore, key.mJob, key.mAttempt);
  const std::size_t index = key.mTask.Value();
  if (job == nullptr || attempt == nullptr || !job->mAttempt ||
      index >= attempt->mTasks.size() || jobs::HasEnded(job->mPhase) ||
      job->mAttempt->mTasks[index].mComplete) {
    // The answer is stored already or no longer needed.
    SendAnswerAck(aCore, aSession, key, true, aChunk.mTotalBytes);
    return;
  }
  if (!IsWellFormed(aChunk) ||
      attempt->mTasks[index].mAssignment.mIncarnation != aChunk.mIncarnation) {
    return;
  }
  if (JobAnswerBytes(*job->mAttempt, aChunk) > protocol::kMaxAnswerBytes) {
    ProposeAbort(aCore, *attempt, base::Reason::AnswerTooLarge);
    return;
  }
  AnswerAssembly* assembly =
    FindOrAddAssembly(aCore, aChunk, job->mAttempt->mTasks[index]);
  if (assembly == nullptr || assembly->mTotalBytes != aChunk.mTotalBytes ||
      assembly->mChecksum != aChunk.mChecksum ||
      aCore.mAssemblyBytes + aChunk.mBytes.size() > kMaxAssemblyBytes) {
    return;
  }
  InsertChunk(aCore, *assembly, aChunk);
  AppendContiguousChunks(aCore, *assembly);
  const std::uint64_t assembled =
    assembly->mProposedBytes + assembly->mContiguous.size();
  ProposeParts(aCore, key, *assembly);
  if (aChunk.mTotalBytes > protocol::kMaxChunkBytes) {
    SendAnswerAck(aCore, aSession, key, false, assembled);
  }
}

void
OnPartStored(CoordinatorCore& aCore, const TaskKey& aKey)
{
  const auto it = aCore.mAssemblies.find(aKey);
  const jobs::JobRecord* job = aCore.mState.Find(aKey.mJob);
  if (it == aCore.mAssemblies.end() || job == nullptr || !job->mAttempt) {
    return;
  }
  const jobs::TaskRecord& task = job->mAttempt->mTasks[aKey.mTask.Value()];
  if (task.mComplete || (it->second.mAllProposed && task.mAnswer.empty())) {
    DropAssembly(aCore, aKey);
    return;
  }
  const std::uint64_t missing = task.mTotalBytes - task.mAnswer.size();
  aCore.mReservedAnswerBytes -= it->second.mReservedBytes - missing;
  it->second.mReservedBytes = missing;
}

void
AcknowledgeAnswer(CoordinatorCore& aCore,
                  const TaskKey& aKey,
                  base::Incarnation aIncarnation)
{
  const AgentRecord* agent = FindAgent(aCore, aIncarnation);
  if (agent != nullptr && agent->mSession) {
    SendAnswerAck(aCore, *agent->mSession, aKey, true, 0);
  }
}

void
DropAssembly(CoordinatorCore& aCore, const TaskKey& aKey)
{
  const auto it = aCore.mAssemblies.find(aKey);
  if (it == aCore.mAssemblies.end()) {
    return;
  }
  const AnswerAssembly& assembly = it->second;
  aCore.mAssemblyBytes -= assembly.mContiguous.size();
  for (const auto& [offset, bytes] : assembly.mOutOfOrderChunks) {
    aCore.mAssemblyBytes -= bytes.size();
  }
  aCore.mReservedAnswerBytes -= assembly.mReservedBytes;
  aCore.mAssemblies.erase(it);
}

} // namespace dogwooddrum::coordination::control
