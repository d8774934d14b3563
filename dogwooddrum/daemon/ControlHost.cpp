#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ControlCore.h"
#include "dogwooddrum/daemon/DataFolder.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/daemon/JoinLinks.h"
#include "dogwooddrum/daemon/MemberCheck.h"
#include "dogwooddrum/daemon/Notices.h"
#include "dogwooddrum/daemon/OperatorPort.h"
#include "dogwooddrum/daemon/PeerLinks.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/service/LogEvents.h"
#include "dogwooddrum/transport/LinkServer.h"

#include <algorithm>
#include <random>
#include <unordered_map>

namespace dogwooddrum::daemon {

namespace {

using coordination::control::Outgoing;
using coordination::control::SessionId;
using protocol::MessageType;
using service::Gauge;
using service::LogEvent;

constexpr base::Duration kTick = base::Milliseconds(10);
constexpr base::Duration kJoinInterval = base::Milliseconds(200);
/** Longer than any election that succeeds. */
constexpr base::Duration kLeaderlessBeforeJoin = base::Milliseconds(3000);
/** Links of entries, agents and members that one member accepts. */
constexpr std::size_t kMaxLinks = 20000;
/** A leader that cannot hand over within this time exits all the same; the
 * others then elect without its help. */
constexpr base::Duration kTransferLimit = base::Milliseconds(5000);
constexpr base::Duration kTransferRetry = base::Milliseconds(500);
/** Time for the last redirects to leave after the handover. */
constexpr base::Duration kRedirectTime = base::Milliseconds(200);

ControlCoreOptions
MakeCoreOptions(const service::ControlSettings& aSettings)
{
  std::random_device device;
  ControlCoreOptions options;
  options.mSnapshotEntries = aSettings.mSnapshotEntries;
  options.mRaft.mSelf = aSettings.mMemberId;
  options.mRaft.mSeed = device();
  auto& coordinator = options.mCoordinator;
  coordinator.mSelf = aSettings.mMemberId;
  coordinator.mSeed = device();
  coordinator.mMaxQueuedJobs = aSettings.mMaxQueuedJobs;
  coordinator.mMaxStoredAnswerBytes =
    static_cast<std::uint64_t>(aSettings.mMaxStoredAnswerMb) << 20;
  coordinator.mAnswerRetention = aSettings.mAnswerRetention;
  auto& placer = coordinator.mPlacer;
  placer.mPreemption = aSettings.mPreemption;
  placer.mCompaction = aSettings.mCompaction;
  placer.mPreemptionGrace = aSettings.mPreemptionGrace;
  placer.mReservationAge = aSettings.mReservationAge;
  placer.mCompactionMovesPerMinute = aSettings.mCompactionMovesPerMinute;
  placer.mInteractiveBorrowShare = aSettings.mInteractiveBorrowPercent / 100.0;
  placer.mFailuresToQuarantine = aSettings.mFailuresToQuarantine;
  placer.mQuarantineTime = aSettings.mQuarantineTime;
  auto& workloads = coordinator.mWorkloads;
  workloads.mTaskLease = aSettings.mTaskLease;
  workloads.mStopTime = aSettings.mStopTime;
  workloads.mRestoreTime = aSettings.mRestoreTime;
  if (!aSettings.mSeeds.empty()) {
    options.mRepair.emplace();
    options.mRepair->mIntendedVoters = 2 * aSettings.mToleratedLosses + 1;
  }
  return options;
}

/** Type of the frame for each message to a session. */
MessageType
TypeOf(const Outgoing& aMessage)
{
  struct Visitor
  {
    MessageType operator()(const protocol::ClientReply&) const
    {
      return MessageType::ClientReply;
    }
    MessageType operator()(const protocol::FreshnessReply&) const
    {
      return MessageType::FreshnessReply;
    }
    MessageType operator()(const protocol::HeartbeatReply&) const
    {
      return MessageType::HeartbeatReply;
    }
    MessageType operator()(const protocol::TaskCommand&) const
    {
      return MessageType::TaskCommand;
    }
    MessageType operator()(const protocol::AnswerAck&) const
    {
      return MessageType::AnswerAck;
    }
    MessageType operator()(const protocol::NotLeader&) const
    {
      return MessageType::NotLeader;
    }
    MessageType operator()(const protocol::WorkloadReply&) const
    {
      return MessageType::WorkloadReply;
    }
    MessageType operator()(const protocol::WorkerOrders&) const
    {
      return MessageType::WorkerOrders;
    }
  };
  return std::visit(Visitor{}, aMessage.mMessage);
}

/** Hosts a control member: links, the decision thread and the core. */
class ControlHost final : public Host
{
public:
  explicit ControlHost(HostContext& aContext)
    : mContext(aContext)
    , mSettings(aContext.mSettings.mControl)
    , mFiles(state::MakePosixFileSystem())
    , mLoop(
        kTick,
        { [this](base::Time aNow) { Tick(aNow); }, [this] { mCore->Pump(); } })
  {
  }
  ~ControlHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    if (!mSettings.mSeeds.empty()) {
      const auto resolved =
        ResolveMember(*mFiles, mContext.mSettings.mCommon, mSettings);
      if (!resolved) {
        return resolved.LastFailure();
      }
      mSettings = *resolved;
    }
    const auto options = MakeLinkOptions(
      mContext, transport::PeerRole::Control, mSettings.mMemberId.Value());
    const auto founded = IsFounded(*mFiles, mSettings);
    if (!founded) {
      return founded.LastFailure();
    }
    if (!*founded && mSettings.mSeeds.empty()) {
      const auto checked = CheckNotVoter(
        *mContext.mNetwork, options, *mContext.mCounters, mSettings);
      if (!checked) {
        return checked.LastFailure();
      }
    }
    auto opened = OpenDataFolder(*mFiles, mSettings);
    if (!opened) {
      if (opened.LastFailure().mReason == base::Reason::CorruptLog) {
        service::Log(
          LogEvent::LogCorrupt,
          { { "file", opened.LastFailure().mMessage }, { "offset", "" } });
      }
      return opened.LastFailure();
    }
    if (const auto& torn = opened->mStorage->CutOff()) {
      service::Log(LogEvent::TornTailTruncated,
                   { { "file", torn->mFile }, { "offset", torn->mOffset } });
    }
    LogRecovered(opened->mRecovered);
    mPeers = std::make_unique<PeerLinks>(*mContext.mNetwork,
                                         options,
                                         MakeEvents(),
                                         *mContext.mCounters,
                                         mSettings.mMemberId);
    mCore = std::make_unique<ControlCore>(MakeCoreOptions(mSettings),
                                          opened->mRecovered,
                                          std::move(opened->mStorage),
                                          MakeHooks(),
                                          mLoop);
    const auto& common = mContext.mSettings.mCommon;
    auto server =
      transport::LinkServer::Listen(*mContext.mNetwork,
                                    { common.mBindAddress, common.mLinkPort },
                                    options,
                                    MakeEvents(),
                                    *mContext.mCounters,
                                    kMaxLinks);
    if (!server) {
      return server.LastFailure();
    }
    mServer = std::move(*server);
    service::Log(
      LogEvent::Listening,
      { { "protocol", "links" },
        { "address",
          common.mBindAddress + ":" + std::to_string(mServer->Port()) } });
    mJoin = std::make_unique<JoinLinks>(*mContext.mNetwork,
                                        options,
                                        *mContext.mCounters,
                                        mSettings.mMemberId,
                                        SelfAddress());
    mCore->Start();
    mLoop.Start();
    return ListenForOperators();
  }

  bool Ready() override
  {
    const auto& status = mCore->Status();
    return status.mLeader != 0 && !status.mStorageFailed;
  }

  void UpdateMetrics() override
  {
    const auto& status = mCore->Status();
    auto& metrics = *mContext.mMetrics;
    const auto set = [&metrics](Gauge aGauge, std::uint64_t aValue) {
      metrics.Set(aGauge, static_cast<double>(aValue));
    };
    set(Gauge::Term, status.mTerm);
    set(Gauge::IsLeader, status.mLeads ? 1 : 0);
    set(Gauge::CommitIndex, status.mCommit);
    set(Gauge::AppliedIndex, status.mApplied);
    set(Gauge::ReplicationLagEntries, status.mLag);
    set(Gauge::ConfigurationVersion, status.mVersion);
    set(Gauge::ActiveJobs, status.mActiveJobs);
    set(Gauge::StorageWithdrawn, status.mStorageFailed ? 1 : 0);
    metrics.Set(Gauge::FragmentationUnusableShare, status.mUnusableShare);
    set(Gauge::AcceleratorsFree, status.mFree);
    set(Gauge::AcceleratorsTotal, status.mTotal);
    set(Gauge::LargestShapeOnWorker, status.mLargestOnWorker);
    set(Gauge::LargestShapeInRack, status.mLargestInRack);
    set(Gauge::LargestShapeInZone, status.mLargestInZone);
  }

  bool Handle(transport::ServerRequest&,
              const transport::ServerResponder&) override
  {
    return false;
  }

  void BeginDrain() override {}

  void CloseListeners() override
  {
    mHandoverBegin = Now();
    if (mOperators) {
      mOperators->Drain();
    }
    mLoop.Post([this] { mCore->TransferLeadership(); });
  }

  bool Drained() override
  {
    const auto now = Now();
    const auto& status = mCore->Status();
    if (status.mLeads && status.mOtherVoters && !status.mStorageFailed &&
        now - mHandoverBegin < kTransferLimit) {
      if (now - mLastTransfer > kTransferRetry) {
        mLastTransfer = now;
        mLoop.Post([this] { mCore->TransferLeadership(); });
      }
      mNotLeading = base::Time{};
      return false;
    }
    if (mNotLeading == base::Time{}) {
      mNotLeading = now;
      service::Log(LogEvent::LeadershipTransferred,
                   { { "term", status.mTerm.load() } });
    }
    return now - mNotLeading >= kRedirectTime &&
           (!mOperators || mOperators->InProgress() == 0);
  }

  bool MayAbandon() override { return true; }
  void Reload(const service::Settings&) override {}
  std::size_t TasksInProgress() override { return 0; }

  void Stop() override
  {
    if (mServer) {
      mServer->Stop();
    }
    if (mOperators) {
      mOperators->Stop();
    }
    mLoop.Stop();
    if (mJoin) {
      mJoin->Stop();
    }
    if (mCore) {
      mCore->Stop();
    }
    if (mPeers) {
      mPeers->Stop();
    }
  }

private:
  std::string SelfAddress() const
  {
    const auto& common = mContext.mSettings.mCommon;
    return service::ToString(
      service::Address{ common.mBindAddress, common.mLinkPort });
  }

  base::Outcome<bool> ListenForOperators()
  {
    if (!mSettings.mOperatorAddress || !mContext.mAdapters->mOperators) {
      return true;
    }
    mOperators = std::make_unique<OperatorPort>(
      *mContext.mNetwork, *mContext.mAdapters->mOperators, mLoop);
    return mOperators->Listen(ToTransport(*mSettings.mOperatorAddress), *mCore);
  }

  void Tick(base::Time aNow)
  {
    mCore->Tick(aNow);
    if (mOperators) {
      mOperators->Tick(aNow);
    }
    if (!mSettings.mSeeds.empty()) {
      Join(aNow);
    }
  }

  /** Asks to join while this process is no voter, or hears of no leader: it
   * may have been replaced while it was cut off. */
  void Join(base::Time aNow)
  {
    const bool known = mCore->Status().mLeader != 0;
    mLastLeader = known || mLastLeader == base::Time{} ? aNow : mLastLeader;
    if (mCore->IsVoter(mSettings.mMemberId) &&
        (known || aNow - mLastLeader < kLeaderlessBeforeJoin)) {
      mJoin->Rest();
      return;
    }
    if (aNow < mNextJoin) {
      return;
    }
    mNextJoin = aNow + kJoinInterval;
    std::vector<transport::Address> addresses;
    for (const auto& seed : mSettings.mSeeds) {
      addresses.push_back({ seed.mIp, mContext.mSettings.mCommon.mLinkPort });
    }
    for (const auto& member : mCore->CurrentMembership().mMembers) {
      if (const auto address = transport::ParseAddress(member.mAddress)) {
        addresses.push_back(*address);
      }
    }
    mJoin->Ask(addresses, [this](const auto& aMembership) {
      mLoop.Post([this, aMembership] {
        if (mCore->CurrentMembership().mMembers.empty()) {
          mPeers->Update(aMembership);
        }
      });
    });
  }

  static void LogRecovered(
    const coordination::consensus::RecoveredState& aRecovered)
  {
    auto index = base::LogIndex();
    if (!aRecovered.mEntries.empty()) {
      index = aRecovered.mEntries.back().mIndex;
    } else if (aRecovered.mSnapshot) {
      index = aRecovered.mSnapshot->mIndex;
    }
    service::Log(LogEvent::LogRecovered,
                 { { "index", index.Value() },
                   { "term", aRecovered.mHardState.mTerm.Value() } });
  }

  ControlCoreHooks MakeHooks()
  {
    ControlCoreHooks hooks;
    hooks.mSendPeer = [this](const coordination::consensus::Message& aMessage) {
      mPeers->Send(aMessage);
    };
    hooks.mSendSession = [this](const Outgoing& aMessage) {
      if (aMessage.mSession.Value() == kOperatorSession) {
        const auto* reply =
          std::get_if<protocol::WorkloadReply>(&aMessage.mMessage);
        if (reply != nullptr) {
          mOperators->OnReply(*reply);
        } else {
          mOperators->OnLeadershipLost();
        }
        return;
      }
      const auto it = mSessions.find(aMessage.mSession.Value());
      if (it != mSessions.end()) {
        std::visit(
          [&](const auto& aBody) {
            it->second->Send(TypeOf(aMessage), protocol::Encode(aBody));
          },
          aMessage.mMessage);
      }
    };
    hooks.mMembership =
      [this](const coordination::consensus::Membership& aMembership) {
        mPeers->Update(aMembership);
      };
    hooks.mNotice = [this](const coordination::control::Notice& aNotice) {
      // At full rate there are thousands of lines a second; writing them on
      // the decision thread would delay every request.
      mContext.mNetwork->Post(
        [this, aNotice] { Report(aNotice, *mContext.mMetrics); });
    };
    hooks.mNote = [this](const coordination::workloads::WorkloadEvent& aNote) {
      mContext.mNetwork->Post(
        [this, aNote] { Report(aNote, *mContext.mMetrics); });
    };
    hooks.mSynced = [this](const Synced& aSynced) {
      auto& metrics = *mContext.mMetrics;
      metrics.Add(service::Counter::LogSyncs);
      metrics.Add(service::Counter::LogSyncedEntries, aSynced.mEntries);
      metrics.Observe(
        service::Distribution::SyncTime, base::ProfileId(), aSynced.mDuration);
    };
    return hooks;
  }

  transport::LinkEvents MakeEvents()
  {
    transport::LinkEvents events;
    events.mUp = [this](const transport::LinkPtr& aLink) {
      mContext.mMetrics->Add(service::Counter::LinksOpened);
      service::Log(LogEvent::LinkUp, { { "peer", aLink->Peer().mName } });
      if (aLink->Peer().mRole != transport::PeerRole::Control) {
        mLoop.Post([this, aLink] { mSessions[aLink->Id()] = aLink; });
      }
    };
    events.mRefused = [](const std::string& aAddress) {
      service::Log(LogEvent::LinkRefused,
                   { { "peer", aAddress }, { "reason", "handshake_failed" } });
    };
    events.mClosed = [this](const transport::LinkPtr& aLink,
                            transport::CloseReason aReason) {
      service::Log(LogEvent::LinkDown,
                   { { "peer", aLink->Peer().mName },
                     { "reason", transport::ToString(aReason) } });
      if (aLink->Peer().mRole != transport::PeerRole::Control) {
        mLoop.Post([this, id = aLink->Id()] {
          mSessions.erase(id);
          mCore->Decisions().OnSessionClosed(SessionId(id), Now());
        });
      }
    };
    events.mFrame = [this](const transport::LinkPtr& aLink,
                           const protocol::Frame& aFrame) {
      if (!OnFrame(aLink, aFrame)) {
        service::Log(LogEvent::FrameRejected,
                     { { "peer", aLink->Peer().mName },
                       { "message",
                         "type " + std::to_string(
                                     static_cast<unsigned>(aFrame.mType)) } });
        aLink->Close(transport::CloseReason::Malformed);
      }
    };
    return events;
  }

  /** Decodes on the network thread. Returns false if the frame cannot be
   * decoded or its sender may not send it. */
  bool OnFrame(const transport::LinkPtr& aLink, const protocol::Frame& aFrame)
  {
    const auto& peer = aLink->Peer();
    const SessionId session(aLink->Id());
    using transport::PeerRole;
    switch (aFrame.mType) {
      case MessageType::Consensus:
        return peer.mRole == PeerRole::Control && OnConsensus(peer.mId, aFrame);
      case MessageType::MemberQuery:
        return peer.mRole == PeerRole::Control &&
               Pass<base::MemberId>(aFrame, [this, aLink](const auto& aMember) {
                 const char answer = mCore->IsVoter(aMember) ? 1 : 0;
                 aLink->Send(MessageType::MemberAnswer,
                             std::string_view(&answer, 1));
               });
      case MessageType::JoinRequest:
        return peer.mRole == PeerRole::Control &&
               Pass<protocol::JoinRequest>(
                 aFrame, [this, aLink](const auto& aRequest) {
                   mCore->OnJoinRequest(aRequest);
                   aLink->Send(MessageType::JoinReply,
                               protocol::Encode(mCore->CurrentMembership()));
                 });
      case MessageType::WorkloadRequest:
        return peer.mRole == PeerRole::Entry &&
               Pass<protocol::WorkloadRequest>(
                 aFrame, [this, session](const auto& aRequest) {
                   mCore->Decisions().OnWorkloadRequest(
                     session, aRequest, Now());
                 });
      case MessageType::WorkerReport:
        return peer.mRole == PeerRole::Agent &&
               Pass<protocol::WorkerReport>(
                 aFrame, [this, session](const auto& aReport) {
                   mCore->Decisions().OnWorkerReport(session, aReport, Now());
                 });
      case MessageType::ClientRequest:
        return peer.mRole == PeerRole::Entry &&
               Pass<protocol::ClientRequest>(
                 aFrame, [this, session](const auto& aRequest) {
                   mCore->Decisions().OnClientRequest(session, aRequest, Now());
                 });
      case MessageType::FreshnessPoll:
        return peer.mRole == PeerRole::Entry &&
               Pass<protocol::FreshnessPoll>(
                 aFrame, [this, session](const auto& aPoll) {
                   mCore->Decisions().OnFreshnessPoll(session, aPoll, Now());
                 });
      case MessageType::AgentHeartbeat:
        return peer.mRole == PeerRole::Agent &&
               Pass<protocol::AgentHeartbeat>(
                 aFrame, [this, session](const auto& aHeartbeat) {
                   mCore->Decisions().OnAgentHeartbeat(
                     session, aHeartbeat, Now());
                 });
      case MessageType::TaskReport: {
        const base::Incarnation incarnation(peer.mId);
        return peer.mRole == PeerRole::Agent &&
               Pass<protocol::TaskReport>(
                 aFrame, [this, session, incarnation](const auto& aReport) {
                   mCore->Decisions().OnTaskReport(
                     session, incarnation, aReport, Now());
                 });
      }
      case MessageType::AnswerChunk:
        return peer.mRole == PeerRole::Agent &&
               Pass<protocol::AnswerChunk>(
                 aFrame, [this, session](const auto& aChunk) {
                   mCore->Decisions().OnAnswerChunk(session, aChunk, Now());
                 });
      default:
        return false;
    }
  }

  bool OnConsensus(std::uint64_t aPeer, const protocol::Frame& aFrame)
  {
    auto message =
      protocol::Decode<coordination::consensus::Message>(aFrame.mPayload);
    if (!message || message->mFrom.Value() != aPeer) {
      return false;
    }
    if (message->mTo == mSettings.mMemberId) {
      mLoop.Post(
        [this, received = std::move(*message)] { mCore->Receive(received); });
    }
    return true;
  }

  template<typename T, typename F>
  bool Pass(const protocol::Frame& aFrame, F aHandler)
  {
    auto message = protocol::Decode<T>(aFrame.mPayload);
    if (!message) {
      return false;
    }
    mLoop.Post([handler = std::move(aHandler), received = std::move(*message)] {
      handler(received);
    });
    return true;
  }

  HostContext& mContext;
  service::ControlSettings mSettings; ///< the member id may be resolved
  std::unique_ptr<state::FileSystem> mFiles;
  std::unique_ptr<PeerLinks> mPeers;
  std::unique_ptr<ControlCore> mCore;
  std::unique_ptr<transport::LinkServer> mServer;
  std::unique_ptr<JoinLinks> mJoin;
  std::unique_ptr<OperatorPort> mOperators;
  base::Time mNextJoin{};
  base::Time mLastLeader{};
  /** Links of entries and agents; used by the decision thread only. */
  std::unordered_map<std::uint64_t, transport::LinkPtr> mSessions;
  EventLoop mLoop;
  base::Time mHandoverBegin{};
  base::Time mLastTransfer{};
  base::Time mNotLeading{};
};

} // namespace

std::unique_ptr<Host>
MakeControlHost(HostContext& aContext)
{
  return std::make_unique<ControlHost>(aContext);
}

} // namespace dogwooddrum::daemon
