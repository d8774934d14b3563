#include "tests/support/PowerLossGroup.h"

#include <algorithm>
#include <iterator>

namespace dogwooddrum::support {

namespace {

constexpr base::Duration kTick = base::Milliseconds(10);
/** Time of calm within which a leader must commit. */
constexpr base::Duration kElectionLimit = base::Milliseconds(5000);
/** The same as in ControlHost. */
constexpr base::Duration kDepartureTimeout = base::Milliseconds(5000);

} // namespace

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

/** Replaces a machine whose successor has had the time to catch up, so that
 * neither counts as lost. Then mostly loses disks; else the next fault may. */
void
PowerLossGroup::ReplaceAnnounced()
{
  const std::size_t slot = DrawSlots(1)[0];
  Machine* machine = mSlots[slot];
  mSlots[slot] = &AddMachine(NewId(), {});
  StartProcess(*mSlots[slot]);
  mSimulation.RunUntil(std::max(mCalmFrom, mSimulation.Now()) + mCatchUp +
                       Draw(0, 1000));
  CheckTolerance();
  mLostDisks.clear();
  AddToHistory(machine->mAddress + " gets SIGTERM");
  machine->mDeparture.emplace(kDepartureTimeout);
  machine->mDeparture->Begin(mSimulation.Now());
  Disturb(kDepartureTimeout);
  mSimulation.RunUntil(mSimulation.Now() + Draw(0, 3000));
  if (mSimulation.Chance(70)) {
    WipeDisks();
  }
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

/** Adds to the history how many voters hold the newest committed entry, if
 * that has changed. */
void
PowerLossGroup::CountCurrentVoters()
{
  const Machine* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  std::size_t voters = 0;
  std::size_t live = 0;
  std::size_t current = 0;
  for (const auto& member : leader->mMembership.mMembers) {
    const Machine* machine = Find(member.mAddress);
    const bool isLive =
      machine->mNode->IsResponsive() && machine->mNode->Id() == member.mId;
    voters += member.mVoter ? 1 : 0;
    live += member.mVoter && isLive ? 1 : 0;
    // One interval of commands may be on its way.
    current += member.mVoter && isLive &&
                   machine->mNode->GetRaft().LastIndex().Value() + 2 >=
                     mNewestCommitted.Value()
                 ? 1
                 : 0;
  }
  const std::string text = std::to_string(current) + " of " +
                           std::to_string(voters) +
                           " voters hold the newest committed entry, " +
                           std::to_string(live) + " are live";
  if (text != mCurrentVoters) {
    mCurrentVoters = text;
    AddToHistory(text);
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
  static constexpr FaultHandler kPlannedFaults[] = {
    &PowerLossGroup::ReplaceAnnounced,
    &PowerLossGroup::ReplaceAnnounced,
    &PowerLossGroup::ReplaceAnnounced,
    &PowerLossGroup::ReplaceAnnounced,
    &PowerLossGroup::WipeDisks,
    &PowerLossGroup::WipeDisksAndLosePower,
    &PowerLossGroup::LosePowerOfAll,
    &PowerLossGroup::LosePowerOfOne,
    &PowerLossGroup::Pause,
    &PowerLossGroup::CutMinority,
    &PowerLossGroup::SlowDown,
  };
  const std::size_t kinds =
    mMix == FaultMix::Any ? std::size(kFaults) : std::size(kPlannedFaults);
  const FaultHandler* handlers =
    mMix == FaultMix::Any ? kFaults : kPlannedFaults;
  const std::size_t faults = 1 + mSimulation.Random()() % 8;
  for (std::size_t i = 0; i <= faults && mChecker.Violations().empty(); ++i) {
    if (i == 0 || mSimulation.Chance(70)) {
      mSimulation.RunUntil(mCalmFrom + mCatchUp);
      CheckTolerance();
      mLostDisks.clear();
    }
    mSimulation.RunUntil(mSimulation.Now() + Draw(0, 1500));
    if (i < faults) {
      (this->*handlers[mSimulation.Random()() % kinds])();
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

} // namespace dogwooddrum::support
