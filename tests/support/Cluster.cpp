#include "tests/support/Cluster.h"

#include <algorithm>

namespace dogwooddrum::support {

namespace {

constexpr base::Duration kTick = base::Milliseconds(20);
constexpr base::Duration kRetryInterval = base::Milliseconds(1000);

bool
IsSameEntry(const consensus::LogEntry& aLeft, const consensus::LogEntry& aRight)
{
  return aLeft.mTerm == aRight.mTerm && aLeft.mKind == aRight.mKind &&
         aLeft.mPayload == aRight.mPayload;
}

} // namespace

void
LogChecker::AddViolation(const std::string& aViolation)
{
  constexpr std::size_t kMaxViolations = 20; // later ones follow from the first
  if (mViolations.size() < kMaxViolations) {
    mViolations.push_back(aViolation);
  }
}

void
LogChecker::OnLeaderAnswered(base::Term aTerm, base::MemberId aMember)
{
  const auto it = mLeaders.emplace(aTerm, aMember).first;
  if (it->second != aMember) {
    AddViolation("two leaders in term " + std::to_string(aTerm.Value()));
    it->second = aMember;
  }
}

void
LogChecker::OnApplied(const ControlNode& aNode,
                      const consensus::LogEntry& aEntry)
{
  const std::string index = std::to_string(aEntry.mIndex.Value());
  if (aEntry.mIndex.Value() != aNode.AppliedIndex().Value() + 1) {
    AddViolation(aNode.Name() + " applies " + index + " after " +
                 std::to_string(aNode.AppliedIndex().Value()));
  }
  const auto it = mEntries.emplace(aEntry.mIndex, aEntry).first;
  if (!IsSameEntry(it->second, aEntry)) {
    AddViolation(aNode.Name() + " applies another entry " + index);
  }
}

void
LogChecker::OnRestored(const ControlNode& aNode,
                       const consensus::Snapshot& aSnapshot)
{
  if (aSnapshot.mIndex < aNode.AppliedIndex()) {
    AddViolation(aNode.Name() + " restores an older snapshot at " +
                 std::to_string(aSnapshot.mIndex.Value()));
  }
}

void
CommandSet::Apply(const consensus::LogEntry& aEntry)
{
  if (aEntry.mKind == consensus::EntryKind::Command) {
    mCommands.insert(std::stoull(aEntry.mPayload));
  }
}

void
CommandSet::Restore(const std::string& aState)
{
  mCommands.clear();
  std::istringstream in(aState);
  for (std::uint64_t command = 0; in >> command;) {
    mCommands.insert(command);
  }
}

std::string
CommandSet::Save() const
{
  std::ostringstream out;
  for (const auto command : mCommands) {
    out << command << ' ';
  }
  return out.str();
}

void
CommandSet::ReadDone(consensus::ReadId aRead, bool aConfirmed)
{
  const auto read = mCluster.mPendingReads.extract(aRead.Value());
  if (aConfirmed && !mCluster.HasApplied(mNode, read.mapped().mAcknowledged)) {
    mCluster.mChecker.AddViolation("stale read at " + mNode.Name());
  }
}

Cluster::Cluster(std::uint64_t aSeed,
                 std::size_t aNodes,
                 ApplicationFactory aFactory)
  : mSeed(aSeed)
  , mHasClient(!aFactory)
  , mSimulation(aSeed)
  , mNetwork(mSimulation)
{
  mHooks.mMakeApplication = std::move(aFactory);
  if (mHasClient) {
    mHooks.mMakeApplication = [this](ControlNode& aNode) {
      return std::make_unique<CommandSet>(aNode, *this);
    };
  }
  mHooks.mSend = [this](ControlNode& aFrom,
                        const consensus::Message& aMessage) {
    Deliver(aFrom, aMessage);
  };
  mHooks.mOnApplied = [this](ControlNode& aNode,
                             const consensus::LogEntry& aEntry) {
    mChecker.OnApplied(aNode, aEntry);
    if (mHasClient) {
      Acknowledge(aNode, aEntry);
    }
  };
  mHooks.mOnRestored = [this](ControlNode& aNode,
                              const consensus::Snapshot& aSnapshot) {
    mChecker.OnRestored(aNode, aSnapshot);
    AddToHistory(aNode.Name() + " restores a snapshot");
  };
  mHooks.mOnStepped = [this](ControlNode& aNode) {
    if (aNode.IsLeader()) {
      mChecker.OnLeaderAnswered(aNode.GetRaft().CurrentTerm(), aNode.Id());
    }
  };
  mHooks.mLog = [this](const std::string& aText) { AddToHistory(aText); };
  consensus::Membership initial;
  for (std::size_t i = 0; i < aNodes; ++i) {
    initial.mMembers.push_back({ base::MemberId(++mNextId), "", true });
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    const std::string name = "control-" + std::to_string(i + 1);
    mNodes.push_back(std::make_unique<ControlNode>(
      mSimulation, mHooks, name, initial.mMembers[i].mId, initial));
    mNodes.back()->Start();
  }
  Tick();
}

void
Cluster::AddToHistory(const std::string& aText)
{
  mHistory.push_back(std::to_string(base::ToMilliseconds(mSimulation.Now())) +
                     " ms: " + aText);
}

std::string
Cluster::Report() const
{
  if (Violations().empty()) {
    return {};
  }
  std::string text = "seed " + std::to_string(mSeed) + "\n";
  for (const auto& line : Violations()) {
    text += "violation: " + line + "\n";
  }
  for (const auto& line : mHistory) {
    text += line + "\n";
  }
  return text;
}

ControlNode*
Cluster::Find(base::MemberId aId)
{
  for (const auto& node : mNodes) {
    if (node->Id() == aId) {
      return node.get();
    }
  }
  return nullptr;
}

ControlNode*
Cluster::Leader()
{
  ControlNode* leader = nullptr;
  for (const auto& node : mNodes) {
    if (node->IsResponsive() && node->GetRaft().IsLeaderReady() &&
        (leader == nullptr ||
         node->GetRaft().CurrentTerm() > leader->GetRaft().CurrentTerm())) {
      leader = node.get();
    }
  }
  return leader;
}

void
Cluster::Tick()
{
  if (mHasClient) {
    ProposePending();
    StartRead();
  }
  ProposeNextChange();
  mSimulation.After(kTick, [this] { Tick(); });
}

void
Cluster::Deliver(ControlNode& aFrom, const consensus::Message& aMessage)
{
  if (mInjectedFault == InjectedFault::CountLearnerVote &&
      std::holds_alternative<consensus::VoteRequest>(aMessage.mBody)) {
    InjectLearnerVote(aMessage);
  }
  ControlNode* to = Find(aMessage.mTo);
  if (to == nullptr) {
    return;
  }
  mNetwork.Send(aFrom.Name(), to->Name(), [this, to, aMessage] {
    consensus::Message message = aMessage;
    to->Step([this, to, message]() mutable {
      InjectFaultOnDelivery(*to, message);
      to->GetRaft().Receive(message, mSimulation.Now());
    });
  });
}

void
Cluster::InjectFaultOnDelivery(ControlNode& aTo, consensus::Message& aMessage)
{
  if (mInjectedFault == InjectedFault::AcceptOldTerm) {
    aMessage.mTerm = std::max(aMessage.mTerm, aTo.GetRaft().CurrentTerm());
  }
}

void
Cluster::InjectLearnerVote(const consensus::Message& aMessage)
{
  ControlNode* candidate = Find(aMessage.mFrom);
  const auto& members = candidate->GetRaft().CurrentMembership().mMembers;
  const auto learner =
    std::find_if(members.begin(), members.end(), [](const auto& aMember) {
      return !aMember.mVoter;
    });
  if (learner == members.end()) {
    return;
  }
  consensus::VoteReply reply;
  reply.mPreVote = std::get<consensus::VoteRequest>(aMessage.mBody).mPreVote;
  reply.mGranted = true;
  const consensus::Message vote{
    aMessage.mTo, aMessage.mFrom, aMessage.mTerm, reply
  };
  mNetwork.Send(
    Find(learner->mId)->Name(), candidate->Name(), [this, candidate, vote] {
      candidate->Step([this, candidate, vote] {
        candidate->GetRaft().Receive(vote, mSimulation.Now());
      });
    });
}

void
Cluster::ProposePending()
{
  for (auto& [id, command] : mPendingCommands) {
    if (mSimulation.Now() < command.mRetryAt) {
      continue;
    }
    const std::string payload = std::to_string(id);
    ControlNode& node = *mNodes[mSimulation.Random()() % mNodes.size()];
    // Any node in the leader role may accept the command, also a stale one.
    if (!node.IsLeader() || !node.IsResponsive()) {
      continue;
    }
    node.Step([this, &node, &command = command, payload] {
      const auto index = node.GetRaft().Propose(payload, mSimulation.Now());
      if (index) {
        command = { node.Id(),
                    *index,
                    node.GetRaft().CurrentTerm(),
                    mSimulation.Now() + kRetryInterval };
      }
    });
  }
}

void
Cluster::Acknowledge(ControlNode& aNode, const consensus::LogEntry& aEntry)
{
  if (aEntry.mKind != consensus::EntryKind::Command) {
    return;
  }
  const auto it = mPendingCommands.find(std::stoull(aEntry.mPayload));
  if (it != mPendingCommands.end() && it->second.mNode == aNode.Id() &&
      it->second.mIndex == aEntry.mIndex && it->second.mTerm == aEntry.mTerm) {
    mAcknowledged.push_back(it->first);
    // The caller may be iterating over pending commands.
    mSimulation.After(base::Duration(0),
                      [this, id = it->first] { mPendingCommands.erase(id); });
    it->second.mNode = base::MemberId();
  }
}

bool
Cluster::HasApplied(ControlNode& aNode, std::size_t aCount)
{
  const auto& commands = static_cast<CommandSet&>(aNode.App());
  return std::all_of(
    mAcknowledged.begin(),
    mAcknowledged.begin() + static_cast<std::ptrdiff_t>(aCount),
    [&](std::uint64_t aCommand) { return commands.Has(aCommand); });
}

void
Cluster::StartRead()
{
  ControlNode& node = *mNodes[mSimulation.Random()() % mNodes.size()];
  if (!node.IsResponsive() || !node.IsLeader()) {
    return;
  }
  const consensus::ReadId read(++mNextRead);
  mPendingReads[read.Value()] = { mAcknowledged.size() };
  node.Step([this, &node, read] {
    if (mInjectedFault == InjectedFault::StaleRead) {
      node.App().ReadDone(read, true);
    } else {
      node.GetRaft().ConfirmRead(read, mSimulation.Now());
    }
  });
}

void
Cluster::ProposeNextChange()
{
  ControlNode* leader = Leader();
  if (mMembershipChanges.empty() || leader == nullptr) {
    return;
  }
  consensus::Raft& raft = leader->GetRaft();
  consensus::Membership committed = raft.MembershipAt(raft.CommitIndex());
  if (!mMembershipChanges.front()(committed)) {
    mMembershipChanges.pop_front();
    return;
  }
  leader->Step([this, &raft, committed] {
    raft.ProposeMembership(committed, mSimulation.Now());
  });
}

bool
Cluster::IsFullyRepaired()
{
  ControlNode* leader = Leader();
  if (!mMembershipChanges.empty() || leader == nullptr) {
    return false;
  }
  const auto& members = leader->GetRaft().CurrentMembership().mMembers;
  return std::all_of(members.begin(), members.end(), [&](const auto& aMember) {
    const ControlNode* node = Find(aMember.mId);
    return node != nullptr && node->IsResponsive() &&
           leader->GetRaft().MatchIndex(aMember.mId) >=
             leader->GetRaft().CommitIndex();
  });
}

} // namespace dogwooddrum::support
