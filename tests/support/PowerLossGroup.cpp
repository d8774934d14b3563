#include "tests/support/PowerLossGroup.h"

#include "dogwooddrum/coordination/consensus/MembershipSwap.h"

#include <algorithm>

namespace dogwooddrum::support {

namespace {

constexpr base::Duration kTick = base::Milliseconds(10);
constexpr base::Duration kClientInterval = base::Milliseconds(20);
// The same as in ControlCore and ControlHost.
constexpr base::Duration kRepairInterval = base::Milliseconds(50);
constexpr base::Duration kMaxJoinRequestAge = base::Milliseconds(2000);
constexpr base::Duration kJoinInterval = base::Milliseconds(200);
constexpr base::Duration kTransferRetry = base::Milliseconds(500);
constexpr std::size_t kSeedMembers = 3;

} // namespace

std::string
FormatMembership(const consensus::Membership& aMembership)
{
  std::string text;
  for (const auto& member : aMembership.mMembers) {
    text += (text.empty() ? "" : " ") + std::to_string(member.mId.Value()) +
            (member.mVoter ? "" : "(learner)") +
            (member.mSwap == consensus::SwapRole::Entering  ? "(entering)"
             : member.mSwap == consensus::SwapRole::Leaving ? "(leaving)"
                                                            : "") +
            "=" + member.mAddress;
  }
  return text;
}

PowerLossGroup::PowerLossGroup(std::uint64_t aSeed,
                               std::size_t aTolerated,
                               FaultMix aMix)
  : mSeed(aSeed)
  , mTolerated(aTolerated)
  , mMix(aMix)
  , mCatchUp(base::Milliseconds(aTolerated > 1 ? 6000 : 4000))
  , mSimulation(aSeed)
{
  mHooks.mMakeApplication = [](ControlNode&) {
    return std::make_unique<AppliedCommands>();
  };
  mHooks.mSend = [this](ControlNode& aFrom,
                        const consensus::Message& aMessage) {
    SendToMember(MachineOf(aFrom), aMessage);
  };
  mHooks.mOnApplied = [this](ControlNode& aNode,
                             const consensus::LogEntry& aEntry) {
    mChecker.OnApplied(aNode, aEntry);
    mNewestCommitted = std::max(mNewestCommitted, aEntry.mIndex);
    if (aEntry.mKind == consensus::EntryKind::Command) {
      mCommitted.insert(std::stoull(aEntry.mPayload));
    }
  };
  mHooks.mOnRestored = [this](ControlNode& aNode,
                              const consensus::Snapshot& aSnapshot) {
    mChecker.OnRestored(aNode, aSnapshot);
    AddToHistory(aNode.Name() + " restores a snapshot at " +
                 std::to_string(aSnapshot.mIndex.Value()));
  };
  mHooks.mOnStepped = [this](ControlNode& aNode) {
    if (aNode.IsLeader()) {
      mChecker.OnLeaderAnswered(aNode.GetRaft().CurrentTerm(), aNode.Id());
    }
    Machine& machine = MachineOf(aNode);
    const auto& membership = aNode.GetRaft().CurrentMembership();
    if (!consensus::IsSameMembership(membership, machine.mMembership)) {
      machine.mMembership = membership;
      AddToHistory(aNode.Name() + " has members " +
                   FormatMembership(membership));
      UpdateLinks(machine, membership);
    }
  };
  mHooks.mLog = [this](const std::string& aText) { AddToHistory(aText); };
  consensus::Membership initial;
  for (std::size_t i = 1; i <= kSeedMembers; ++i) {
    initial.mMembers.push_back(
      { base::MemberId(i), "vm-" + std::to_string(i), true });
  }
  for (std::size_t i = 1; i <= 2 * mTolerated + 1; ++i) {
    const bool isSeed = i <= kSeedMembers;
    mSlots.push_back(&AddMachine(isSeed ? base::MemberId(i) : NewId(),
                                 isSeed ? initial : consensus::Membership{}));
  }
  for (Machine* machine : mSlots) {
    mSimulation.After(Draw(0, 300),
                      [this, machine] { StartProcess(*machine); });
  }
  Disturb(base::Milliseconds(300));
  Tick();
  ProposeCommand();
}

base::Duration
PowerLossGroup::Draw(int aMinMs, int aMaxMs)
{
  return mSimulation.RandomBetween(base::Milliseconds(aMinMs),
                                   base::Milliseconds(aMaxMs));
}

void
PowerLossGroup::AddToHistory(const std::string& aText)
{
  mHistory.push_back(std::to_string(base::ToMilliseconds(mSimulation.Now())) +
                     " ms: " + aText);
}

base::MemberId
PowerLossGroup::NewId()
{
  base::MemberId id;
  do {
    id = base::MemberId(1000 * (1 + mSimulation.Random()() % 1000) +
                        mMachines.size());
  } while (!mUsedIds.insert(id).second);
  return id;
}

Machine&
PowerLossGroup::AddMachine(base::MemberId aId, consensus::Membership aInitial)
{
  auto machine = std::make_unique<Machine>();
  machine->mAddress = "vm-" + std::to_string(mMachines.size() + 1);
  machine->mNode = std::make_unique<ControlNode>(
    mSimulation, mHooks, machine->mAddress, aId, std::move(aInitial));
  machine->mNode->mChunkBytes = 4000;
  // Mostly, as in a deployment, no snapshot is taken in the group's first day.
  machine->mNode->mSnapshotInterval = mSeed % 3 == 0 ? 40 : 20000;
  mMachines.push_back(std::move(machine));
  return *mMachines.back();
}

Machine*
PowerLossGroup::Find(const std::string& aAddress)
{
  for (const auto& machine : mMachines) {
    if (machine->mAddress == aAddress) {
      return machine.get();
    }
  }
  return nullptr;
}

Machine&
PowerLossGroup::MachineOf(const ControlNode& aNode)
{
  return *Find(aNode.Name());
}

void
PowerLossGroup::StartProcess(Machine& aMachine)
{
  if (aMachine.mIsRemoved || aMachine.mNode->IsRunning()) {
    return;
  }
  ++aMachine.mProcess;
  aMachine.mMembership = {};
  aMachine.mLinks.clear();
  aMachine.mIncoming.clear();
  aMachine.mCandidates.clear();
  aMachine.mKnownAddresses.clear();
  aMachine.mNextJoin = mSimulation.Now();
  aMachine.mNextRepair = mSimulation.Now();
  aMachine.mLeaderKnownAt = mSimulation.Now();
  aMachine.mLeavingMembers = {};
  aMachine.mSeeds.clear();
  for (const std::size_t slot : DrawSlots(kSeedMembers)) {
    aMachine.mSeeds.push_back(mSlots[slot]->mAddress);
  }
  AddToHistory(aMachine.mAddress + " starts as member " +
               std::to_string(aMachine.mNode->Id().Value()));
  aMachine.mNode->Start();
  if (!aMachine.mNode->IsRunning()) {
    mChecker.AddViolation(aMachine.mAddress + " refuses to start");
    return;
  }
  aMachine.mMembership = aMachine.mNode->GetRaft().CurrentMembership();
  AddToHistory(aMachine.mAddress + " has members " +
               FormatMembership(aMachine.mMembership) + ", log up to " +
               std::to_string(aMachine.mNode->GetRaft().LastIndex().Value()));
  UpdateLinks(aMachine, aMachine.mMembership);
}

void
PowerLossGroup::EndProcess(Machine& aMachine, const std::function<void()>& aEnd)
{
  ++aMachine.mProcess;
  aEnd();
}

void
PowerLossGroup::Transfer(Machine& aFrom,
                         Machine& aTo,
                         std::function<void()> aDeliver)
{
  if (!aTo.mNode->IsRunning() || aFrom.mIsCut != aTo.mIsCut) {
    return;
  }
  const bool slow = aFrom.mIsSlow || aTo.mIsSlow;
  const base::Duration delay =
    mSimulation.RandomBetween(base::Duration(300), base::Duration(900)) +
    (slow ? Draw(0, 300) : base::Duration(0));
  base::Time& last = mLastArrival[{ &aFrom, &aTo }];
  last = std::max(last + base::Duration(1), mSimulation.Now() + delay);
  mSimulation.At(last,
                 [&aTo, process = aTo.mProcess, deliver = std::move(aDeliver)] {
                   if (aTo.mProcess == process) {
                     aTo.mNode->Step(deliver);
                   }
                 });
}

/** Returns the machine that a message can be sent to as PeerLinks does: over
 * the link that the sender has opened to the receiver, or over the one on which
 * the receiver's newest message came. Returns null if neither is open. */
Machine*
PowerLossGroup::FindReceiver(Machine& aFrom, base::MemberId aTo)
{
  const auto link = aFrom.mLinks.find(aTo);
  if (link != aFrom.mLinks.end()) {
    Machine* to = Find(link->second.mAddress);
    if (to != nullptr && link->second.mTargetProcess == to->mProcess &&
        mSimulation.Now() >= link->second.mOpenAt) {
      return to;
    }
  }
  const auto incoming = aFrom.mIncoming.find(aTo);
  if (incoming != aFrom.mIncoming.end()) {
    const auto& [sender, process] = incoming->second;
    if (sender->mProcess == process) {
      return sender;
    }
  }
  return nullptr;
}

void
PowerLossGroup::SendToMember(Machine& aFrom, const consensus::Message& aMessage)
{
  Machine* to = FindReceiver(aFrom, aMessage.mTo);
  if (to == nullptr) {
    return;
  }
  Transfer(aFrom, *to, [this, &aFrom, process = aFrom.mProcess, to, aMessage] {
    to->mIncoming[aMessage.mFrom] = { &aFrom, process };
    to->mNode->GetRaft().Receive(aMessage, mSimulation.Now());
  });
}

void
PowerLossGroup::UpdateLinks(Machine& aMachine,
                            const consensus::Membership& aMembership)
{
  std::map<base::MemberId, Machine::Link> links;
  for (const auto& member : aMembership.mMembers) {
    if (member.mId == aMachine.mNode->Id()) {
      continue;
    }
    const auto it = aMachine.mLinks.find(member.mId);
    if (it != aMachine.mLinks.end() && it->second.mAddress == member.mAddress) {
      links[member.mId] = it->second;
    } else {
      links[member.mId].mAddress = member.mAddress;
    }
  }
  aMachine.mLinks = std::move(links);
}

void
PowerLossGroup::OpenLinks(Machine& aMachine)
{
  for (auto& [id, link] : aMachine.mLinks) {
    const Machine* target = Find(link.mAddress);
    if (target != nullptr && target->mNode->IsRunning() &&
        link.mTargetProcess != target->mProcess) {
      link.mTargetProcess = target->mProcess;
      link.mOpenAt = mSimulation.Now() + Draw(1, 60);
    }
  }
}

void
PowerLossGroup::Tick()
{
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    if (mMachines[i]->mNode->IsResponsive()) {
      TickMachine(*mMachines[i]);
    }
  }
  CountCurrentVoters();
  mSimulation.After(kTick, [this] { Tick(); });
}

void
PowerLossGroup::TickMachine(Machine& aMachine)
{
  OpenLinks(aMachine);
  if (aMachine.mDeparture) {
    ContinueDeparture(aMachine);
    return;
  }
  JoinIfNeeded(aMachine);
  Repair(aMachine);
}

void
PowerLossGroup::JoinIfNeeded(Machine& aMachine)
{
  const consensus::Raft& raft = aMachine.mNode->GetRaft();
  const auto& members = raft.CurrentMembership().mMembers;
  const base::Time now = mSimulation.Now();
  if (raft.Leader() != base::MemberId()) {
    aMachine.mLeaderKnownAt = now;
  }
  if (now < aMachine.mNextJoin ||
      !consensus::ShouldRequestJoin(raft.CurrentMembership(),
                                    aMachine.mNode->Id(),
                                    now - aMachine.mLeaderKnownAt)) {
    return;
  }
  aMachine.mNextJoin = now + kJoinInterval;
  std::set<std::string> addresses = aMachine.mKnownAddresses;
  addresses.insert(aMachine.mSeeds.begin(), aMachine.mSeeds.end());
  for (const auto& member : members) {
    addresses.insert(member.mAddress);
  }
  addresses.erase(aMachine.mAddress);
  for (const std::string& address : addresses) {
    Machine* to = Find(address);
    if (to != nullptr) {
      RequestJoin(aMachine, *to);
    }
  }
}

void
PowerLossGroup::RequestJoin(Machine& aMachine, Machine& aTo)
{
  const base::MemberId id = aMachine.mNode->Id();
  const auto onReply = [this,
                        &aMachine](const consensus::Membership& aMembership) {
    for (const auto& member : aMembership.mMembers) {
      aMachine.mKnownAddresses.insert(member.mAddress);
    }
    if (aMachine.mNode->GetRaft().CurrentMembership().mMembers.empty()) {
      UpdateLinks(aMachine, aMembership);
    }
  };
  Transfer(aMachine, aTo, [this, &aMachine, &aTo, id, onReply] {
    aTo.mCandidates[aMachine.mAddress] = { id, mSimulation.Now() };
    const auto membership = aTo.mNode->GetRaft().CurrentMembership();
    Transfer(aTo, aMachine, [onReply, membership] { onReply(membership); });
  });
}

consensus::GroupView
PowerLossGroup::ViewGroup(Machine& aMachine)
{
  const consensus::Raft& raft = aMachine.mNode->GetRaft();
  const base::Time now = mSimulation.Now();
  consensus::GroupView view;
  view.mMembership = raft.CurrentMembership();
  view.mSelf = aMachine.mNode->Id();
  view.mLeaving = aMachine.mLeavingMembers.Recent(now);
  for (const auto& member : view.mMembership.mMembers) {
    if (const auto lastContact = raft.LastContact(member.mId)) {
      view.mTimeSinceContact[member.mId] = now - *lastContact;
    }
    if (!member.mVoter && !raft.IsCaughtUp(member.mId)) {
      view.mLearnersBehind.insert(member.mId);
    }
    if (!raft.HasAnswered(member.mId)) {
      view.mUnanswered.insert(member.mId);
    }
  }
  for (const auto& [address, candidate] : aMachine.mCandidates) {
    if (now - candidate.mAskedAt <= kMaxJoinRequestAge) {
      view.mJoinCandidates.push_back({ candidate.mId, address });
    }
  }
  return view;
}

consensus::GroupRepairOptions
PowerLossGroup::RepairOptions() const
{
  consensus::GroupRepairOptions options;
  options.mIntendedVoters = 2 * mTolerated + 1;
  return options;
}

/** Does what a control process does after SIGTERM. */
void
PowerLossGroup::ContinueDeparture(Machine& aMachine)
{
  consensus::Raft& raft = aMachine.mNode->GetRaft();
  const base::Time now = mSimulation.Now();
  if (!aMachine.mDeparture->IsDone(now)) {
    if (raft.IsLeaderReady() && now >= aMachine.mNextTransfer) {
      aMachine.mNextTransfer = now + kTransferRetry;
      aMachine.mNode->Step([&raft, now] { raft.TransferLeadership(now); });
    } else if (!raft.IsLeaderReady() && aMachine.mDeparture->TakeRequest(now)) {
      for (const auto& [id, link] : aMachine.mLinks) {
        Machine* to = Find(link.mAddress);
        if (to != nullptr && link.mTargetProcess == to->mProcess &&
            now >= link.mOpenAt) {
          RequestLeave(aMachine, *to);
        }
      }
    }
    return;
  }
  const auto answer = aMachine.mDeparture->Answer();
  AddToHistory(aMachine.mAddress + " is gone, answer " +
               (answer ? consensus::ToString(*answer) : "none"));
  EndProcess(aMachine, [&] { aMachine.mNode->LosePower(); });
  aMachine.mIsRemoved = true;
}

void
PowerLossGroup::RequestLeave(Machine& aMachine, Machine& aTo)
{
  const base::MemberId id = aMachine.mNode->Id();
  Transfer(aMachine, aTo, [this, &aMachine, &aTo, id] {
    const consensus::Raft& raft = aTo.mNode->GetRaft();
    if (!aTo.mNode->IsLeader() || !raft.IsLeaderReady()) {
      return;
    }
    const auto answer =
      aTo.mLeavingMembers.OnRequest(ViewGroup(aTo),
                                    RepairOptions(),
                                    raft.MembershipAt(raft.CommitIndex()),
                                    id,
                                    mSimulation.Now());
    Transfer(aTo, aMachine, [&aMachine, answer, from = aTo.mNode->Id()] {
      aMachine.mDeparture->OnAnswer(answer,
                                    aMachine.mNode->GetRaft().Leader() == from);
    });
  });
}

void
PowerLossGroup::Repair(Machine& aMachine)
{
  consensus::Raft& raft = aMachine.mNode->GetRaft();
  const base::Time now = mSimulation.Now();
  if (!aMachine.mNode->IsLeader() || !raft.IsLeaderReady() ||
      now < aMachine.mNextRepair) {
    return;
  }
  aMachine.mNextRepair = now + kRepairInterval;
  const auto view = ViewGroup(aMachine);
  if (const auto next = consensus::PlanNextRepair(view, RepairOptions())) {
    aMachine.mNode->Step(
      [&raft, next, now] { raft.ProposeMembership(*next, now); });
  }
}

void
PowerLossGroup::ProposeCommand()
{
  for (Machine* machine : mSlots) {
    ControlNode& node = *machine->mNode;
    if (node.IsResponsive() && node.IsLeader()) {
      node.Step([this, &node] {
        node.GetRaft().Propose(std::to_string(++mNextCommand) + " " +
                                 std::string(mSeed % 200, 'x'),
                               mSimulation.Now());
      });
    }
  }
  mSimulation.After(kClientInterval, [this] { ProposeCommand(); });
}

Machine*
PowerLossGroup::Leader()
{
  Machine* leader = nullptr;
  for (const auto& machine : mMachines) {
    const ControlNode& node = *machine->mNode;
    if (node.IsResponsive() && node.IsLeader() &&
        machine->mNode->GetRaft().IsLeaderReady() &&
        (leader == nullptr || machine->mNode->GetRaft().CurrentTerm() >
                                leader->mNode->GetRaft().CurrentTerm())) {
      leader = machine.get();
    }
  }
  return leader;
}

} // namespace dogwooddrum::support
