#include "dogwooddrum/coordination/jobs/LifeCycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>

namespace dogwooddrum::coordination::jobs {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;
namespace mpl = boost::mpl;
using front::none;

/** Event that puts a new machine into a given phase. */
template<typename Phase>
struct RestorePhase
{
  Phase mPhase;
};

template<typename Phase, Phase P>
struct State : public front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mPhase = P;
  }
};

struct Restoring : public front::state<>
{};

/** Guard that admits RestorePhase only to the state of its phase. */
template<typename Phase, Phase P>
struct PhaseIs
{
  template<class Event, class Machine, class Source, class Target>
  bool operator()(const Event& aEvent, Machine&, Source&, Target&) const
  {
    return aEvent.mPhase == P;
  }
};

template<typename Phase, Phase P>
using RestoreRow = front::
  Row<Restoring, RestorePhase<Phase>, State<Phase, P>, none, PhaseIs<Phase, P>>;

template<typename Event, Event E>
struct EventTag
{
};

template<typename Phase, typename Event, Phase From, Event E, Phase To>
using TransitionRow =
  front::Row<State<Phase, From>, EventTag<Event, E>, State<Phase, To>>;

template<JobPhase From, JobEvent E, JobPhase To>
using JobTransition = TransitionRow<JobPhase, JobEvent, From, E, To>;
template<LeasePhase From, LeaseEvent E, LeasePhase To>
using LeaseTransition = TransitionRow<LeasePhase, LeaseEvent, From, E, To>;

/** Common base of both machines. */
template<typename Phase, typename Derived>
struct MachineBase : public front::state_machine_def<Derived>
{
  using initial_state = Restoring;
  Phase mPhase{};
  bool mHasNoTransition = false;

  template<class Machine, class Event>
  void no_transition(const Event&, Machine&, int)
  {
    mHasNoTransition = true;
  }
};

struct JobMachineDef : public MachineBase<JobPhase, JobMachineDef>
{
  using P = JobPhase;
  using E = JobEvent;
  // Outer vectors are joined because one mpl::vector holds at most 20 rows.
  using RestoreRows = mpl::vector<RestoreRow<P, P::Queued>,
                                  RestoreRow<P, P::Preparing>,
                                  RestoreRow<P, P::Active>,
                                  RestoreRow<P, P::Stopping>,
                                  RestoreRow<P, P::Finished>,
                                  RestoreRow<P, P::Failed>,
                                  RestoreRow<P, P::Cancelled>>;
  using Transitions =
    mpl::vector<JobTransition<P::Queued, E::StartSingle, P::Active>,
                JobTransition<P::Queued, E::StartGang, P::Preparing>,
                JobTransition<P::Queued, E::Fail, P::Failed>,
                JobTransition<P::Queued, E::Cancel, P::Cancelled>,
                JobTransition<P::Preparing, E::CommitGang, P::Active>,
                JobTransition<P::Preparing, E::Abort, P::Stopping>,
                JobTransition<P::Preparing, E::Cancel, P::Cancelled>,
                JobTransition<P::Active, E::Abort, P::Stopping>,
                JobTransition<P::Active, E::Complete, P::Finished>,
                JobTransition<P::Active, E::Requeue, P::Queued>,
                JobTransition<P::Active, E::Fail, P::Failed>,
                JobTransition<P::Active, E::Cancel, P::Cancelled>,
                // A task may finish before the stop reaches it.
                JobTransition<P::Stopping, E::Complete, P::Finished>,
                JobTransition<P::Stopping, E::Requeue, P::Queued>,
                JobTransition<P::Stopping, E::Fail, P::Failed>,
                JobTransition<P::Stopping, E::Cancel, P::Cancelled>>;
  using transition_table = mpl::
    insert_range<Transitions, mpl::end<Transitions>::type, RestoreRows>::type;
};

struct LeaseMachineDef : public MachineBase<LeasePhase, LeaseMachineDef>
{
  using P = LeasePhase;
  using E = LeaseEvent;
  using RestoreRows = mpl::vector<RestoreRow<P, P::Granted>,
                                  RestoreRow<P, P::Prepared>,
                                  RestoreRow<P, P::Running>,
                                  RestoreRow<P, P::Finished>,
                                  RestoreRow<P, P::Fenced>,
                                  RestoreRow<P, P::Expired>>;
  using Transitions =
    mpl::vector<LeaseTransition<P::Granted, E::ReportPrepared, P::Prepared>,
                LeaseTransition<P::Granted, E::ReportRunning, P::Running>,
                LeaseTransition<P::Granted, E::ReportFinished, P::Finished>,
                LeaseTransition<P::Granted, E::ReportFenced, P::Fenced>,
                LeaseTransition<P::Granted, E::Expire, P::Expired>,
                LeaseTransition<P::Prepared, E::ReportRunning, P::Running>,
                LeaseTransition<P::Prepared, E::ReportFinished, P::Finished>,
                LeaseTransition<P::Prepared, E::ReportFenced, P::Fenced>,
                LeaseTransition<P::Prepared, E::Expire, P::Expired>,
                LeaseTransition<P::Running, E::ReportFinished, P::Finished>,
                LeaseTransition<P::Running, E::ReportFenced, P::Fenced>,
                LeaseTransition<P::Running, E::Expire, P::Expired>,
                // The agent is lost, and the only copy of the answer with it.
                LeaseTransition<P::Finished, E::Expire, P::Expired>>;
  using transition_table = mpl::
    insert_range<Transitions, mpl::end<Transitions>::type, RestoreRows>::type;
};

template<class Def, typename Phase, typename Event, Event E>
std::optional<Phase>
RunMachine(Phase aPhase)
{
  msm::back::state_machine<Def> machine;
  machine.start();
  machine.process_event(RestorePhase<Phase>{ aPhase });
  machine.process_event(EventTag<Event, E>{});
  if (machine.mHasNoTransition) {
    return std::nullopt;
  }
  return machine.mPhase;
}

template<typename Phase, typename Event>
using TransitionTable = std::array<
  std::array<std::optional<Phase>, static_cast<std::size_t>(Event::Count)>,
  static_cast<std::size_t>(Phase::Count)>;

/** Fills the columns from event number N on. */
template<class Def, typename Phase, typename Event, std::size_t N>
void
FillColumns(TransitionTable<Phase, Event>& aTable)
{
  if constexpr (N < static_cast<std::size_t>(Event::Count)) {
    for (std::size_t i = 0; i < aTable.size(); ++i) {
      aTable[i][N] = RunMachine<Def, Phase, Event, static_cast<Event>(N)>(
        static_cast<Phase>(i));
    }
    FillColumns<Def, Phase, Event, N + 1>(aTable);
  }
}

/** Runs the machine once per phase and event, since a lookup costs less than
 * building a machine for every transition of every job. */
template<class Def, typename Phase, typename Event>
TransitionTable<Phase, Event>
BuildTable()
{
  TransitionTable<Phase, Event> table;
  FillColumns<Def, Phase, Event, 0>(table);
  return table;
}

} // namespace

std::optional<JobPhase>
NextPhase(JobPhase aPhase, JobEvent aEvent)
{
  static const auto table = BuildTable<JobMachineDef, JobPhase, JobEvent>();
  return table.at(static_cast<std::size_t>(aPhase))
    .at(static_cast<std::size_t>(aEvent));
}

std::optional<LeasePhase>
NextPhase(LeasePhase aPhase, LeaseEvent aEvent)
{
  static const auto table =
    BuildTable<LeaseMachineDef, LeasePhase, LeaseEvent>();
  return table.at(static_cast<std::size_t>(aPhase))
    .at(static_cast<std::size_t>(aEvent));
}

} // namespace dogwooddrum::coordination::jobs
