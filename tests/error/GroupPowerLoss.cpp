// Guards against a group that never elects a leader again, or loses what it
// committed, after members were replaced, lost their disks or lost power, as
// long as no more disks are lost at once than the group tolerates.
#include "dogwooddrum/coordination/consensus/GroupRepair.h"
#include "tests/support/Cluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace dogwooddrum::support {
namespace {

constexpr base::Duration kTick = base::Milliseconds(10);
constexpr base::Duration kClientInterval = base::Milliseconds(20);
/** Time of calm within which a leader must commit. */
constexpr base::Duration kElectionLimit = base::Milliseconds(5000);
// The same as in ControlCore and ControlHost.
constexpr base::Duration kRepairInterval = base::Milliseconds(50);
constexpr base::Duration kMaxJoinRequestAge = base::Milliseconds(2000);
constexpr base::Duration kJoinInterval = base::Milliseconds(200);
constexpr base::Duration kLeaderlessTimeBeforeJoin = base::Milliseconds(3000);
constexpr std::size_t kSeedMembers = 3;

/** Stores the set of applied commands. */
class AppliedCommands : public Application
{
public:
  void Apply(const consensus::LogEntry& aEntry) override
  {
    if (aEntry.mKind == consensus::EntryKind::Command) {
      mCommands.insert(std::stoull(aEntry.mPayload));
    }
  }
  void Restore(const std::string& aState) override
  {
    mCommands.clear();
    std::istringstream in(aState);
    for (std::uint64_t command = 0; in >> command;) {
      mCommands.insert(command);
    }
  }
  std::string Save() const override
  {
    std::ostringstream out;
    for (const auto command : mCommands) {
      out << command << ' ';
    }
    return out.str();
  }
  void ReadDone(consensus::ReadId, bool) override {}

  std::set<std::uint64_t> mCommands;
};

/** A VM of the control group and the state of its process outside of Raft. */
struct Machine
{
  struct Link
  {
    std::string mAddress;
    std::uint64_t mTargetProcess = 0; ///< 0: not connected
    base::Time mOpenAt;
  };
  struct Candidate
  {
    base::MemberId mId;
    base::Time mAskedAt;
  };

  std::string mAddress;
  std::unique_ptr<ControlNode> mNode;
  bool mIsRemoved = false;
  bool mIsCut = false;  ///< from all machines that are not cut
  bool mIsSlow = false; ///< messages and steps are delayed
  std::vector<std::string> mSeeds;
  std::uint64_t mProcess = 0; ///< increased at each start and end
  // State of the process, reset at each start.
  consensus::Membership mMembership; ///< that the links follow
  std::map<base::MemberId, Link> mLinks;
  /** Sender and its process of the newest message of each member. */
  std::map<base::MemberId, std::pair<Machine*, std::uint64_t>> mIncoming;
  std::map<std::string, Candidate> mCandidates;
  std::set<std::string> mKnownAddresses;
  base::Time mNextJoin;
  base::Time mNextRepair;
  base::Time mLeaderKnownAt;
};

bool
IsSameMembership(const consensus::Membership& aLeft,
                 const consensus::Membership& aRight)
{
  return std::equal(aLeft.mMembers.begin(),
                    aLeft.mMembers.end(),
                    aRight.mMembers.begin(),
                    aRight.mMembers.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.mId == aOther.mId &&
                             aOne.mAddress == aOther.mAddress &&
                             aOne.mVoter == aOther.mVoter;
                    });
}

std::string
FormatMembership(const consensus::Membership& aMembership)
{
  std::string text;
  for (const auto& member : aMembership.mMembers) {
    text += (text.empty() ? "" : " ") + std::to_string(member.mId.Value()) +
            (member.mVoter ? "=" : "(learner)=") + member.mAddress;
  }
  return text;
}

/** A control group that repairs itself, and the faults of one day. */
class PowerLossGroup
{
public:
  PowerLossGroup(std::uint64_t aSeed, std::size_t aTolerated);
  /** Plays the day. Returns the violations with the history, or nothing. */
  std::string Run();

private:
  using FaultHandler = void (PowerLossGroup::*)();

  // Processes and their messages.
  Machine& AddMachine(base::MemberId aId, consensus::Membership aInitial);
  Machine* Find(const std::string& aAddress);
  Machine& MachineOf(const ControlNode& aNode);
  base::MemberId NewId();
  void StartProcess(Machine& aMachine);
  void EndProcess(Machine& aMachine, const std::function<void()>& aEnd);
  void Transfer(Machine& aFrom, Machine& aTo, std::function<void()> aDeliver);
  Machine* FindReceiver(Machine& aFrom, base::MemberId aTo);
  void SendToMember(Machine& aFrom, const consensus::Message& aMessage);
  void UpdateLinks(Machine& aMachine, const consensus::Membership& aMembership);
  void Tick();
  void TickMachine(Machine& aMachine);
  void OpenLinks(Machine& aMachine);
  void JoinIfNeeded(Machine& aMachine);
  void RequestJoin(Machine& aMachine, Machine& aTo);
  void Repair(Machine& aMachine);
  void DelaySteps(Machine& aMachine, base::Time aEnd);
  void ProposeCommand();
  Machine* Leader();

  // Faults.
  std::vector<std::size_t> DrawSlots(std::size_t aCount);
  std::size_t DrawDiskLosses();
  void LoseDisk(std::size_t aSlot, base::Duration aDown);
  void LosePower(std::size_t aSlot, base::Duration aDown);
  void WipeDisks();
  void WipeDisksAndLosePower();
  void LosePowerOfAll();
  void LosePowerOfOne();
  void Replace();
  void ReplacePlanned();
  void Pause();
  void CutMinority();
  void SlowDown();
  base::Duration Draw(int aMinMs, int aMaxMs);
  void Disturb(base::Duration aUntil);

  // Checks.
  void CheckCommit();
  void CheckTolerance();
  void AddToHistory(const std::string& aText);

  const std::uint64_t mSeed;
  const std::size_t mTolerated;
  const base::Duration mCatchUp;
  Simulation mSimulation;
  NodeHooks mHooks;
  LogChecker mChecker;
  std::vector<std::unique_ptr<Machine>> mMachines;
  std::vector<Machine*> mSlots; ///< the machines that are part of the system
  std::set<std::size_t> mLostDisks; ///< slots that have not caught up since
  base::Time mCalmFrom;
  std::map<std::pair<Machine*, Machine*>, base::Time> mLastArrival;
  std::uint64_t mNextCommand = 0;
  std::set<std::uint64_t> mCommitted;
  std::vector<std::string> mHistory;
};

PowerLossGroup::PowerLossGroup(std::uint64_t aSeed, std::size_t aTolerated)
  : mSeed(aSeed)
  , mTolerated(aTolerated)
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
    if (!IsSameMembership(membership, machine.mMembership)) {
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
  return base::MemberId(1000 * (1 + mSimulation.Random()() % 1000) +
                        mMachines.size());
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
  mSimulation.After(kTick, [this] { Tick(); });
}

void
PowerLossGroup::TickMachine(Machine& aMachine)
{
  OpenLinks(aMachine);
  JoinIfNeeded(aMachine);
  Repair(aMachine);
}

void
PowerLossGroup::JoinIfNeeded(Machine& aMachine)
{
  const consensus::Raft& raft = aMachine.mNode->GetRaft();
  const auto& members = raft.CurrentMembership().mMembers;
  const bool isVoter =
    std::any_of(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.mVoter && aMember.mId == aMachine.mNode->Id();
    });
  const base::Time now = mSimulation.Now();
  if (raft.Leader() != base::MemberId()) {
    aMachine.mLeaderKnownAt = now;
  }
  if ((isVoter && now - aMachine.mLeaderKnownAt < kLeaderlessTimeBeforeJoin) ||
      now < aMachine.mNextJoin) {
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
  consensus::GroupView view;
  view.mMembership = raft.CurrentMembership();
  view.mSelf = aMachine.mNode->Id();
  for (const auto& member : view.mMembership.mMembers) {
    if (const auto lastContact = raft.LastContact(member.mId)) {
      view.mTimeSinceContact[member.mId] = now - *lastContact;
    }
  }
  for (const auto& [address, candidate] : aMachine.mCandidates) {
    if (now - candidate.mAskedAt <= kMaxJoinRequestAge) {
      view.mJoinCandidates.push_back({ candidate.mId, address });
    }
  }
  consensus::GroupRepairOptions options;
  options.mIntendedVoters = 2 * mTolerated + 1;
  if (const auto next = consensus::PlanNextRepair(view, options)) {
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

std::vector<std::size_t>
PowerLossGroup::DrawSlots(std::size_t aCount)
{
  std::vector<std::size_t> slots(mSlots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    slots[i] = i;
  }
  std::shuffle(slots.begin(), slots.end(), mSimulation.Random());
  slots.resize(std::min(aCount, slots.size()));
  return slots;
}

void
PowerLossGroup::Disturb(base::Duration aUntil)
{
  mCalmFrom = std::max(mCalmFrom, mSimulation.Now() + aUntil);
}

void
PowerLossGroup::LoseDisk(std::size_t aSlot, base::Duration aDown)
{
  Machine* machine = mSlots[aSlot];
  AddToHistory(machine->mAddress + " loses its disk");
  EndProcess(*machine, [&] { machine->mNode->LoseDisk(NewId()); });
  mLostDisks.insert(aSlot);
  mSimulation.After(aDown, [this, machine] { StartProcess(*machine); });
  Disturb(aDown);
}

void
PowerLossGroup::LosePower(std::size_t aSlot, base::Duration aDown)
{
  Machine* machine = mSlots[aSlot];
  AddToHistory(machine->mAddress + " loses power");
  EndProcess(*machine, [&] { machine->mNode->LosePower(); });
  mSimulation.After(aDown, [this, machine] { StartProcess(*machine); });
  Disturb(aDown);
}

/** Returns how many disks to lose now; 0 if no more may be lost. */
std::size_t
PowerLossGroup::DrawDiskLosses()
{
  const std::size_t most = mTolerated - mLostDisks.size();
  return most == 0 ? 0 : 1 + mSimulation.Random()() % most;
}

void
PowerLossGroup::WipeDisks()
{
  for (const std::size_t slot : DrawSlots(DrawDiskLosses())) {
    if (mLostDisks.count(slot) == 0) {
      LoseDisk(slot, Draw(50, 2000));
    }
  }
}

void
PowerLossGroup::WipeDisksAndLosePower()
{
  const auto slots = DrawSlots(mSlots.size());
  std::size_t losses = mTolerated - mLostDisks.size();
  const base::Duration down = Draw(100, 2000);
  for (const std::size_t slot : slots) {
    if (losses > 0 && mLostDisks.count(slot) == 0) {
      --losses;
      LoseDisk(slot, down + Draw(0, 300));
    } else {
      LosePower(slot, down + Draw(0, 300));
    }
  }
}

void
PowerLossGroup::LosePowerOfAll()
{
  const base::Duration down = Draw(100, 2000);
  for (std::size_t i = 0; i < mSlots.size(); ++i) {
    LosePower(i, down + Draw(0, 300));
  }
}

void
PowerLossGroup::LosePowerOfOne()
{
  LosePower(DrawSlots(1)[0], Draw(50, 4000));
}

void
PowerLossGroup::Replace()
{
  if (DrawDiskLosses() == 0) {
    return;
  }
  const std::size_t slot = DrawSlots(1)[0];
  Machine* machine = mSlots[slot];
  AddToHistory(machine->mAddress + " is gone");
  EndProcess(*machine, [&] { machine->mNode->LosePower(); });
  machine->mIsRemoved = true;
  mLostDisks.insert(slot);
  const base::Duration gap = Draw(50, 2000);
  mSlots[slot] = &AddMachine(NewId(), {});
  mSimulation.After(
    gap, [this, successor = mSlots[slot]] { StartProcess(*successor); });
  Disturb(gap);
}

void
PowerLossGroup::ReplacePlanned()
{
  if (DrawDiskLosses() == 0) {
    return;
  }
  const std::size_t slot = DrawSlots(1)[0];
  Machine* machine = mSlots[slot];
  mSlots[slot] = &AddMachine(NewId(), {});
  StartProcess(*mSlots[slot]);
  mLostDisks.insert(slot);
  const base::Duration overlap = Draw(500, 3000);
  mSimulation.After(overlap, [this, machine] {
    AddToHistory(machine->mAddress + " is gone");
    EndProcess(*machine, [&] { machine->mNode->LosePower(); });
    machine->mIsRemoved = true;
  });
  Disturb(overlap);
}

void
PowerLossGroup::Pause()
{
  Machine* machine = mSlots[DrawSlots(1)[0]];
  if (!machine->mNode->IsRunning()) {
    return;
  }
  AddToHistory(machine->mAddress + " is paused");
  machine->mNode->Freeze();
  const base::Duration length = Draw(300, 5000);
  mSimulation.After(length, [machine, process = machine->mProcess] {
    if (machine->mProcess == process) {
      machine->mNode->Thaw();
    }
  });
  Disturb(length);
}

void
PowerLossGroup::CutMinority()
{
  const base::Duration length = Draw(300, 5500);
  for (const std::size_t slot : DrawSlots(mTolerated)) {
    Machine* machine = mSlots[slot];
    AddToHistory(machine->mAddress + " is cut off");
    machine->mIsCut = true;
    mSimulation.After(length, [machine] { machine->mIsCut = false; });
  }
  Disturb(length);
}

void
PowerLossGroup::DelaySteps(Machine& aMachine, base::Time aEnd)
{
  if (mSimulation.Now() >= aEnd) {
    return;
  }
  const std::uint64_t process = aMachine.mProcess;
  if (aMachine.mNode->IsResponsive()) {
    aMachine.mNode->Freeze();
    mSimulation.After(Draw(20, 300), [&aMachine, process] {
      if (aMachine.mProcess == process) {
        aMachine.mNode->Thaw();
      }
    });
  }
  mSimulation.After(Draw(320, 500),
                    [this, &aMachine, aEnd] { DelaySteps(aMachine, aEnd); });
}

void
PowerLossGroup::SlowDown()
{
  const base::Duration length = Draw(1000, 5000);
  const bool allSlow = mSimulation.Chance(50);
  AddToHistory(allSlow ? "all machines are slow" : "some machines are slow");
  for (Machine* machine : mSlots) {
    if (allSlow || mSimulation.Chance(40)) {
      machine->mIsSlow = true;
      DelaySteps(*machine, mSimulation.Now() + length);
      mSimulation.After(length, [machine] { machine->mIsSlow = false; });
    }
  }
  Disturb(length + base::Milliseconds(600));
}

void
PowerLossGroup::CheckCommit()
{
  const std::uint64_t known = mNextCommand;
  const base::Time end = mCalmFrom + kElectionLimit;
  while (mSimulation.Now() < end) {
    mSimulation.RunUntil(mSimulation.Now() + kTick);
    if (!mCommitted.empty() && *mCommitted.rbegin() > known) {
      break;
    }
  }
  Machine* leader = Leader();
  if (mCommitted.empty() || *mCommitted.rbegin() <= known ||
      leader == nullptr) {
    mChecker.AddViolation("no leader commits within the limit");
    return;
  }
  const auto& applied =
    static_cast<AppliedCommands&>(leader->mNode->App()).mCommands;
  if (!std::includes(
        applied.begin(), applied.end(), mCommitted.begin(), mCommitted.end())) {
    mChecker.AddViolation("committed commands are lost");
  }
}

/** Checks that the group again has as many voters as intended, on machines of
 * the system with their disks. */
void
PowerLossGroup::CheckTolerance()
{
  Machine* leader = Leader();
  if (leader == nullptr) {
    mChecker.AddViolation("no leader after the time to catch up");
    return;
  }
  const consensus::Raft& raft = leader->mNode->GetRaft();
  const auto& membership = raft.MembershipAt(raft.CommitIndex());
  std::size_t voters = 0;
  for (const auto& member : membership.mMembers) {
    const Machine* machine = Find(member.mAddress);
    voters += member.mVoter && machine->mNode->IsRunning() &&
                  machine->mNode->Id() == member.mId
                ? 1
                : 0;
  }
  if (voters < 2 * mTolerated + 1) {
    mChecker.AddViolation("only " + std::to_string(voters) +
                          " voters with disks after the time to catch up: " +
                          FormatMembership(membership));
  }
}

std::string
PowerLossGroup::Run()
{
  static constexpr FaultHandler kFaults[] = {
    &PowerLossGroup::WipeDisks,      &PowerLossGroup::WipeDisksAndLosePower,
    &PowerLossGroup::LosePowerOfAll, &PowerLossGroup::LosePowerOfOne,
    &PowerLossGroup::Replace,        &PowerLossGroup::ReplacePlanned,
    &PowerLossGroup::Pause,          &PowerLossGroup::CutMinority,
    &PowerLossGroup::SlowDown,
  };
  const std::size_t faults = 1 + mSimulation.Random()() % 8;
  for (std::size_t i = 0; i <= faults && mChecker.Violations().empty(); ++i) {
    if (i == 0 || mSimulation.Chance(70)) {
      mSimulation.RunUntil(mCalmFrom + mCatchUp);
      CheckTolerance();
      mLostDisks.clear();
    }
    mSimulation.RunUntil(mSimulation.Now() + Draw(0, 1500));
    if (i < faults) {
      (this->*kFaults[mSimulation.Random()() % std::size(kFaults)])();
    }
  }
  if (mChecker.Violations().empty()) {
    AddToHistory("final fault");
    WipeDisksAndLosePower();
    mSimulation.RunUntil(mCalmFrom);
    CheckCommit();
    mSimulation.RunUntil(mCalmFrom + mCatchUp);
    CheckTolerance();
  }
  if (mChecker.Violations().empty()) {
    return {};
  }
  std::string text = "seed " + std::to_string(mSeed) + "\n";
  for (const auto& line : mChecker.Violations()) {
    text += "violation: " + line + "\n";
  }
  for (const auto& line : mHistory) {
    text += line + "\n";
  }
  return text;
}

/** Plays the seeds of CI, or those from GROUP_POWER_LOSS_FROM to
 * GROUP_POWER_LOSS_TO; then names all seeds that fail. */
void
PlaySeeds(std::size_t aTolerated)
{
  const char* from = std::getenv("GROUP_POWER_LOSS_FROM");
  const char* to = std::getenv("GROUP_POWER_LOSS_TO");
  const std::uint64_t first = from != nullptr ? std::stoull(from) : 1;
  const std::uint64_t last = to != nullptr ? std::stoull(to) : 40;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string report = PowerLossGroup(seed, aTolerated).Run();
    if (last > first) {
      EXPECT_EQ(report.substr(0, report.find(" ms:")), "");
    } else {
      EXPECT_EQ(report, "");
    }
  }
}

} // namespace

TEST(GroupPowerLoss, ThreeMembersElectAgain)
{
  PlaySeeds(1);
}

TEST(GroupPowerLoss, FiveMembersElectAgain)
{
  PlaySeeds(2);
}

} // namespace dogwooddrum::support
