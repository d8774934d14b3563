#include "tests/support/Simulation.h"

namespace dogwooddrum::support {

namespace {

/** Maximum delay of a duplicated message. */
constexpr base::Duration kMaxDuplicateDelay = base::Milliseconds(5000);

} // namespace

base::Duration
Simulation::RandomBetween(base::Duration aMin, base::Duration aMax)
{
  const auto range = static_cast<std::uint64_t>((aMax - aMin).count());
  return aMin + base::Duration(mRandom() % (range + 1));
}

void
Simulation::At(base::Time aTime, std::function<void()> aAction)
{
  mQueue.emplace(aTime, std::move(aAction));
}

void
Simulation::RunUntil(base::Time aEnd)
{
  while (!mQueue.empty() && mQueue.begin()->first <= aEnd) {
    auto event = mQueue.extract(mQueue.begin());
    mNow = std::max(mNow, event.key());
    event.mapped()();
  }
  mNow = aEnd;
}

bool
Network::IsCut(const std::string& aFrom, const std::string& aTo) const
{
  return mCuts.count({ aFrom, aTo }) + mCuts.count({ aFrom, "*" }) +
           mCuts.count({ "*", aTo }) >
         0;
}

void
Network::Send(const std::string& aFrom,
              const std::string& aTo,
              const std::function<void()>& aDeliver)
{
  const auto deliver = [this, aFrom, aTo, aDeliver] {
    if (!IsCut(aFrom, aTo)) {
      aDeliver();
    }
  };
  if (!mSimulation.Chance(mLossPercent)) {
    mSimulation.After(mSimulation.RandomBetween(mDelayMin, mDelayMax), deliver);
  }
  if (mSimulation.Chance(mDuplicatePercent)) {
    // Some copies arrive after the sender has lost its leadership.
    const bool late = mSimulation.Chance(50);
    mSimulation.After(mSimulation.RandomBetween(
                        mDelayMin, late ? kMaxDuplicateDelay : mDelayMax),
                      deliver);
  }
}

} // namespace dogwooddrum::support
