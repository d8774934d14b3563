#include "dogwooddrum/daemon/Clock.h"
#include "dogwooddrum/daemon/ControlCore.h"
#include "dogwooddrum/daemon/ControlCoreSettings.h"
#include "dogwooddrum/daemon/DataFolder.h"
#include "dogwooddrum/daemon/EventLoop.h"
#include "dogwooddrum/daemon/GroupSeeker.h"
#include "dogwooddrum/daemon/Host.h"
#include "dogwooddrum/daemon/MemberCheck.h"
#include "dogwooddrum/daemon/Notices.h"
#include "dogwooddrum/daemon/OperatorServer.h"
#include "dogwooddrum/daemon/PeerLinks.h"
#include "dogwooddrum/daemon/SessionMessages.h"
#include "dogwooddrum/daemon/ZoneApi.h"
#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/service/LogEvents.h"
#include "dogwooddrum/transport/LinkServer.h"

#include <unordered_map>

namespace dogwooddrum::daemon {

namespace {

using coordination::control::Outgoing;
using coordination::control::SessionId;
using protocol::MessageType;
using service::Counter;
using service::Gauge;
using service::LogEvent;

constexpr base::Duration kTickInterval = base::Milliseconds(10);
/** Most links of entries, agents and members that one member accepts. */
constexpr std::size_t kMaxLinks = 20000;
/** A leader that cannot transfer leadership within this time exits anyway; the
 * other members then hold an election. */
constexpr base::Duration kTransferTimeout = base::Milliseconds(5000);
constexpr base::Duration kTransferRetry = base::Milliseconds(500);
/** Longest wait for a successor to get the vote of this member. Longer than an
 * election, as the leader may be lost meanwhile. */
constexpr base::Duration kDepartureTimeout = base::Milliseconds(5000);
/** Time between attempts to open the data folder after a storage error. */
constexpr base::Duration kReopenInterval = base::Milliseconds(1000);
/** Time after the transfer in which the last redirects are sent. */
constexpr base::Duration kRedirectGrace = base::Milliseconds(200);

/** Runs a control member: its links, its decision thread and its core. */
class ControlHost final : public Host
{
public:
  explicit ControlHost(HostContext& aContext)
    : mContext(aContext)
    , mSettings(aContext.mSettings.mControl)
    , mFiles(state::MakePosixFileSystem())
    , mZoneApi(aContext.mOperatorKey)
    , mLoop(kTickInterval,
            { [this](base::Time aNow) { Tick(aNow); },
              [this] { mCore->ProcessOutput(); } })
  {
  }
  ~ControlHost() override { Stop(); }

  base::Outcome<bool> Start() override
  {
    if (mSettings.mSeeds) {
      const auto resolved =
        ResolveMemberSettings(*mFiles, mContext.mSettings.mCommon, mSettings);
      if (!resolved) {
        return resolved.LastFailure();
      }
      mSettings = *resolved;
    }
    const auto options = MakeLinkOptions(
      mContext, transport::PeerRole::Control, mSettings.mMemberId.Value());
    const auto hasFoundingFile = HasFoundingFile(*mFiles, mSettings);
    if (!hasFoundingFile) {
      return hasFoundingFile.LastFailure();
    }
    if (!*hasFoundingFile && !mSettings.mSeeds) {
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
    mPeers = std::make_unique<PeerLinks>(*mContext.mNetwork,
                                         options,
                                         MakeEvents(),
                                         *mContext.mCounters,
                                         mSettings.mMemberId);
    mCore = MakeCore(std::move(*opened));
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
    if (mSettings.mSeeds) {
      mSeeker = MakeSeeker(options);
    }
    mCore->Start();
    mLoop.Start();
    return ListenForOperators();
  }

  bool IsReady() override
  {
    // A learner or a spare has no part in the service until it has a vote.
    return mStatus.mIsVoter && mStatus.mLeaderId != 0 &&
           !mStatus.mStorageFailed;
  }

  void UpdateMetrics() override
  {
    const auto& status = mStatus;
    auto& metrics = *mContext.mMetrics;
    const auto set = [&metrics](Gauge aGauge, std::uint64_t aValue) {
      metrics.Set(aGauge, static_cast<double>(aValue));
    };
    set(Gauge::Term, status.mTerm);
    set(Gauge::IsLeader, status.mIsLeaderReady ? 1 : 0);
    set(Gauge::CommitIndex, status.mCommitIndex);
    set(Gauge::AppliedIndex, status.mAppliedIndex);
    set(Gauge::ReplicationLagEntries, status.mReplicationLag);
    set(Gauge::ConfigurationVersion, status.mConfigurationVersion);
    set(Gauge::ActiveJobs, status.mActiveJobs);
    set(Gauge::EvacuatedZones, status.mEvacuatedZones);
    metrics.Set(
      Gauge::LeaderlessSeconds,
      std::chrono::duration<double>(status.LeaderlessTime(Now())).count());
    set(Gauge::StorageWithdrawn, status.mStorageFailed ? 1 : 0);
    metrics.Set(Gauge::FragmentationUnusableShare, status.mUnusableShare);
    set(Gauge::AcceleratorsFree, status.mFreeAccelerators);
    set(Gauge::AcceleratorsTotal, status.mTotalAccelerators);
    set(Gauge::LargestShapeOnWorker, status.mLargestOnWorker);
    set(Gauge::LargestShapeInRack, status.mLargestInRack);
    set(Gauge::LargestShapeInZone, status.mLargestInZone);
  }

  bool Handle(transport::ServerRequest& aRequest,
              const transport::ServerResponder& aResponder) override
  {
    if (!mIsServingZones || !ZoneApi::IsZonePath(aRequest.mPath)) {
      return false;
    }
    mOperatorServer->Handle(
      aRequest, aResponder, mZoneApi, mContext.mSettings.mCommon.mHttpPort);
    return true;
  }

  void BeginDrain() override {}

  void CloseListeners() override
  {
    mHandoverStartedAt = Now();
    if (mOperatorServer) {
      mOperatorServer->Drain();
    }
    mLoop.Post([this] {
      mCore->TransferLeadership();
      mDeparture.Begin(Now());
    });
  }

  bool IsDrained() override
  {
    const auto now = Now();
    const auto& status = mStatus;
    if (status.mIsLeaderReady && status.mHasOtherVoters &&
        !status.mStorageFailed && now - mHandoverStartedAt < kTransferTimeout) {
      if (now - mLastTransferAt > kTransferRetry) {
        mLastTransferAt = now;
        mLoop.Post([this] { mCore->TransferLeadership(); });
      }
      mNotLeadingSince = base::Time{};
      return false;
    }
    if (mNotLeadingSince == base::Time{}) {
      mNotLeadingSince = now;
      service::Log(LogEvent::LeadershipTransferred,
                   { { "term", status.mTerm.load() } });
    }
    return mHasDeparted && now - mNotLeadingSince >= kRedirectGrace &&
           (!mOperatorServer || mOperatorServer->CallsInProgress() == 0);
  }

  bool MayExitUndrained() override { return true; }
  void Reload(const service::Settings& aSettings) override
  {
    if (mSettings.mSeeds && aSettings.mControl.mSeeds) {
      mLoop.Post([this, seeds = *aSettings.mControl.mSeeds] {
        mSeeker->SetSeeds(seeds);
      });
    }
  }
  std::size_t TasksInProgress() override { return 0; }

  void Stop() override
  {
    if (mServer) {
      mServer->Stop();
    }
    if (mOperatorServer) {
      mOperatorServer->Stop();
    }
    mLoop.Stop();
    if (mSeeker) {
      mSeeker->Stop();
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

  std::unique_ptr<GroupSeeker> MakeSeeker(
    const transport::LinkOptions& aLinkOptions)
  {
    GroupSeekerOptions options;
    options.mSelf = mSettings.mMemberId;
    options.mSelfAddress = SelfAddress();
    options.mLinkPort = mContext.mSettings.mCommon.mLinkPort;
    options.mIntendedVoters = 2 * mSettings.mToleratedLosses + 1;
    options.mSeeds = *mSettings.mSeeds;
    GroupSeekerHooks hooks;
    hooks.mSendToLinkedMembers = [this](const std::string& aRequest) {
      for (const auto& [id, link] : mMemberLinks) {
        link->Send(MessageType::JoinRequest, aRequest);
      }
    };
    hooks.mOnReply = [this](const auto& aMembership) {
      mLoop.Post(
        [this, aMembership] { mSeeker->OnJoinReply(aMembership, *mCore); });
    };
    auto links = std::make_unique<JoinLinks>(
      *mContext.mNetwork,
      aLinkOptions,
      *mContext.mCounters,
      mSettings.mMemberId,
      SelfAddress(),
      [this] { mContext.mMetrics->Add(Counter::JoinRequestsSent); });
    return std::make_unique<GroupSeeker>(
      std::move(options), std::move(links), std::move(hooks));
  }

  base::Outcome<bool> ListenForOperators()
  {
    if (!mSettings.mOperatorAddress || !mContext.mAdapters->mOperators) {
      return true;
    }
    mOperatorServer = std::make_unique<OperatorServer>(
      *mContext.mNetwork, *mContext.mAdapters->mOperators, mLoop);
    const auto address = ToTransportAddress(*mSettings.mOperatorAddress);
    auto listens =
      mOperatorServer->Listen(address, MakeHttpOptions(mContext), *mCore);
    mIsServingZones = static_cast<bool>(listens);
    return listens;
  }

  void Tick(base::Time aNow)
  {
    mCore->Tick(aNow);
    ReopenStorageIfFailed(aNow);
    if (mOperatorServer) {
      mOperatorServer->Tick(aNow);
    }
    ContinueDeparture(aNow);
    if (mSeeker && !mDeparture.HasBegun()) {
      mSeeker->Tick(aNow, *mCore);
    }
  }

  /** Sends the announcements that are due of the end of this member, once it
   * does not lead any more. */
  void ContinueDeparture(base::Time aNow)
  {
    if (!mDeparture.HasBegun() || mHasDeparted) {
      return;
    }
    // Without seeds, the group has no successors.
    const bool isAnswered =
      mSeeker && mStatus.mIsVoter && mStatus.mHasOtherVoters;
    if (!isAnswered || mDeparture.IsDone(aNow)) {
      mHasDeparted = true;
      const auto answer = mDeparture.Answer();
      service::Log(
        LogEvent::MemberLeft,
        { { "answer",
            answer ? coordination::consensus::ToString(*answer) : "none" },
          { "waited_ms", base::ToMilliseconds(mDeparture.Waited(aNow)) } });
    } else if (!mStatus.mIsLeaderReady && mDeparture.TakeRequest(aNow)) {
      mPeers->Broadcast(
        MessageType::LeaveRequest,
        protocol::Encode(protocol::LeaveRequest{ mSettings.mMemberId }));
    }
  }

  /** Returns a core that continues from the opened data folder. */
  std::unique_ptr<ControlCore> MakeCore(OpenedDataFolder aOpened)
  {
    if (const auto& torn = aOpened.mStorage->TruncatedTail()) {
      service::Log(LogEvent::TornTailTruncated,
                   { { "file", torn->mFile }, { "offset", torn->mOffset } });
    }
    LogRecovered(aOpened.mRecovered);
    return std::make_unique<ControlCore>(MakeCoreOptions(mSettings),
                                         aOpened.mRecovered,
                                         std::move(aOpened.mStorage),
                                         MakeHooks(),
                                         mStatus,
                                         mLoop);
  }

  /** Tries to open the data folder again after a storage error, as at a restart
   * of the process. Without it, the member would count as a voter and never
   * vote. */
  void ReopenStorageIfFailed(base::Time aNow)
  {
    if (!mStatus.mStorageFailed || mIsReopening || aNow < mNextReopen) {
      return;
    }
    mNextReopen = aNow + kReopenInterval;
    auto opened = ReopenDataFolder();
    if (!opened) {
      service::Log(LogEvent::StorageFailed,
                   { { "message", opened.LastFailure().mMessage } });
      return;
    }
    mIsReopening = true;
    mCore->Stop();
    // Runs after all events that refer to the stopped core.
    mLoop.Post(
      [this, folder = std::make_shared<OpenedDataFolder>(std::move(*opened))] {
        mIsReopening = false;
        mCore = MakeCore(std::move(*folder));
        if (mOperatorServer) {
          mOperatorServer->SetCore(*mCore);
        }
        mCore->Start();
        service::Log(LogEvent::StorageReopened,
                     { { "folder", mSettings.mDataFolder } });
      });
  }

  /** Opens the data folder of this member. A folder that has lost its founding
   * file is refused: with an empty log the member could vote twice. */
  base::Outcome<OpenedDataFolder> ReopenDataFolder()
  {
    const auto hasFoundingFile = HasFoundingFile(*mFiles, mSettings);
    if (!hasFoundingFile) {
      return hasFoundingFile.LastFailure();
    }
    if (!*hasFoundingFile) {
      return base::Failure{ base::Reason::StorageFailed,
                            mSettings.mDataFolder + ": is empty" };
    }
    return OpenDataFolder(*mFiles, mSettings);
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
    hooks.mSendToPeer =
      [this](const coordination::consensus::Message& aMessage) {
        mPeers->Send(aMessage);
      };
    hooks.mSendToSession = [this](const Outgoing& aMessage) {
      if (aMessage.mSession.Value() == kOperatorSession) {
        const auto* reply =
          std::get_if<protocol::WorkloadReply>(&aMessage.mMessage);
        if (reply != nullptr) {
          mOperatorServer->OnReply(*reply);
        } else {
          mOperatorServer->OnLeadershipLost();
        }
        return;
      }
      const auto it = mSessions.find(aMessage.mSession.Value());
      if (it != mSessions.end()) {
        std::visit(
          [&](const auto& aBody) {
            it->second->Send(MessageTypeOf(aMessage), protocol::Encode(aBody));
          },
          aMessage.mMessage);
      }
    };
    hooks.mMembershipChanged =
      [this](const coordination::consensus::Membership& aMembership) {
        mPeers->Update(aMembership);
      };
    hooks.mNotice = [this](const coordination::control::Notice& aNotice) {
      // Under full load thousands of lines a second are logged; writing them
      // on the decision thread would delay every request.
      mContext.mNetwork->Post(
        [this, aNotice] { LogAndCount(aNotice, *mContext.mMetrics); });
    };
    hooks.mWorkloadEvent =
      [this](const coordination::workloads::WorkloadEvent& aEvent) {
        mContext.mNetwork->Post(
          [this, aEvent] { LogAndCount(aEvent, *mContext.mMetrics); });
      };
    hooks.mVoteRefused =
      [this](const coordination::consensus::VoteRefusal& aRefusal) {
        using Reason = coordination::consensus::VoteRefusalReason;
        using service::PreVoteRefusal;
        if (aRefusal.mPreVote) {
          mContext.mMetrics->CountPreVoteRefusal(
            aRefusal.mReason == Reason::HearsLeader
              ? PreVoteRefusal::HearsLeader
            : aRefusal.mReason == Reason::OldTerm
              ? PreVoteRefusal::OldTerm
              : PreVoteRefusal::OwnLogIsNewer);
        }
      };
    hooks.mIsPeerLinkOpen = [this](base::MemberId aMember) {
      return mPeers->IsOpen(aMember);
    };
    hooks.mSynced = [this](const SyncResult& aSynced) {
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
      mLoop.Post([this, aLink] { LinksOf(aLink)[aLink->Id()] = aLink; });
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
      mLoop.Post([this, aLink] {
        LinksOf(aLink).erase(aLink->Id());
        if (aLink->Peer().mRole != transport::PeerRole::Control) {
          mCore->GetCoordinator().OnSessionClosed(SessionId(aLink->Id()),
                                                  Now());
        }
      });
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

  /** Returns the table for a link, by the role of its peer. */
  std::unordered_map<std::uint64_t, transport::LinkPtr>& LinksOf(
    const transport::LinkPtr& aLink)
  {
    return aLink->Peer().mRole == transport::PeerRole::Control ? mMemberLinks
                                                               : mSessions;
  }

  /** Decodes the frame on the network thread and posts it to the decision
   * thread. Returns false if it cannot be decoded or the peer's role may not
   * send its type. */
  bool OnFrame(const transport::LinkPtr& aLink, const protocol::Frame& aFrame)
  {
    const auto& peer = aLink->Peer();
    const SessionId session(aLink->Id());
    using transport::PeerRole;
    switch (aFrame.mType) {
      case MessageType::Consensus:
        return peer.mRole == PeerRole::Control && OnConsensus(aLink, aFrame);
      case MessageType::MemberQuery:
        return peer.mRole == PeerRole::Control &&
               DecodeAndPost<base::MemberId>(
                 aFrame, [this, aLink](const auto& aMember) {
                   const char answer = mCore->IsVoter(aMember) ? 1 : 0;
                   aLink->Send(MessageType::MemberAnswer,
                               std::string_view(&answer, 1));
                 });
      case MessageType::JoinRequest:
        return peer.mRole == PeerRole::Control &&
               DecodeAndPost<protocol::JoinRequest>(
                 aFrame, [this, aLink](const auto& aRequest) {
                   mContext.mMetrics->Add(Counter::JoinRequestsReceived);
                   mCore->OnJoinRequest(aRequest);
                   aLink->Send(MessageType::JoinReply,
                               protocol::Encode(mCore->CurrentMembership()));
                 });
      case MessageType::JoinReply:
        return peer.mRole == PeerRole::Control &&
               DecodeAndPost<coordination::consensus::Membership>(
                 aFrame, [this](const auto& aMembership) {
                   if (mSeeker) {
                     mSeeker->OnJoinReply(aMembership, *mCore);
                   }
                 });
      case MessageType::LeaveRequest:
        return peer.mRole == PeerRole::Control && OnLeaveRequest(aLink, aFrame);
      case MessageType::LeaveReply:
        return peer.mRole == PeerRole::Control &&
               DecodeAndPost<protocol::LeaveReply>(
                 aFrame, [this, id = peer.mId](const auto& aReply) {
                   mDeparture.OnAnswer(aReply.mAnswer, mStatus.mLeaderId == id);
                 });
      case MessageType::WorkloadRequest:
        return peer.mRole == PeerRole::Entry &&
               DecodeAndPost<protocol::WorkloadRequest>(
                 aFrame, [this, session](const auto& aRequest) {
                   mCore->GetCoordinator().OnWorkloadRequest(
                     session, aRequest, Now());
                 });
      case MessageType::WorkerReport:
        return peer.mRole == PeerRole::Agent &&
               DecodeAndPost<protocol::WorkerReport>(
                 aFrame, [this, session](const auto& aReport) {
                   mCore->GetCoordinator().OnWorkerReport(
                     session, aReport, Now());
                 });
      case MessageType::ClientRequest:
        return peer.mRole == PeerRole::Entry &&
               DecodeAndPost<protocol::ClientRequest>(
                 aFrame, [this, session](const auto& aRequest) {
                   mCore->GetCoordinator().OnClientRequest(
                     session, aRequest, Now());
                 });
      case MessageType::FreshnessPoll:
        return peer.mRole == PeerRole::Entry &&
               DecodeAndPost<protocol::FreshnessPoll>(
                 aFrame, [this, session](const auto& aPoll) {
                   mCore->GetCoordinator().OnFreshnessPoll(
                     session, aPoll, Now());
                 });
      case MessageType::AgentHeartbeat:
        return peer.mRole == PeerRole::Agent &&
               DecodeAndPost<protocol::AgentHeartbeat>(
                 aFrame, [this, session](const auto& aHeartbeat) {
                   mCore->GetCoordinator().OnAgentHeartbeat(
                     session, aHeartbeat, Now());
                 });
      case MessageType::TaskReport: {
        const base::Incarnation incarnation(peer.mId);
        return peer.mRole == PeerRole::Agent &&
               DecodeAndPost<protocol::TaskReport>(
                 aFrame, [this, session, incarnation](const auto& aReport) {
                   mCore->GetCoordinator().OnTaskReport(
                     session, incarnation, aReport, Now());
                 });
      }
      case MessageType::AnswerChunk:
        return peer.mRole == PeerRole::Agent &&
               DecodeAndPost<protocol::AnswerChunk>(
                 aFrame, [this, session](const auto& aChunk) {
                   mCore->GetCoordinator().OnAnswerChunk(
                     session, aChunk, Now());
                 });
      default:
        return false;
    }
  }

  bool OnConsensus(const transport::LinkPtr& aLink,
                   const protocol::Frame& aFrame)
  {
    auto message =
      protocol::Decode<coordination::consensus::Message>(aFrame.mPayload);
    if (!message || message->mFrom.Value() != aLink->Peer().mId) {
      return false;
    }
    if (message->mTo == mSettings.mMemberId) {
      mLoop.Post([this, aLink, received = std::move(*message)] {
        mPeers->OnReceived(received.mFrom, aLink);
        mCore->Receive(received);
      });
    }
    return true;
  }

  /** A member may announce its own end only. */
  bool OnLeaveRequest(const transport::LinkPtr& aLink,
                      const protocol::Frame& aFrame)
  {
    const auto request =
      protocol::Decode<protocol::LeaveRequest>(aFrame.mPayload);
    if (!request || request->mMember.Value() != aLink->Peer().mId) {
      return false;
    }
    mLoop.Post([this, aLink, received = *request] {
      if (const auto answer = mCore->OnLeaveRequest(received)) {
        aLink->Send(MessageType::LeaveReply,
                    protocol::Encode(protocol::LeaveReply{ *answer }));
      }
    });
    return true;
  }

  template<typename T, typename F>
  bool DecodeAndPost(const protocol::Frame& aFrame, F aHandler)
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
  service::ControlSettings mSettings; ///< as resolved from the data folder
  std::unique_ptr<state::FileSystem> mFiles;
  std::unique_ptr<PeerLinks> mPeers;
  ControlStatus mStatus;
  std::unique_ptr<ControlCore> mCore; ///< used by the decision thread only
  base::Time mNextReopen{};
  bool mIsReopening = false; ///< a new core is about to replace a stopped one
  std::unique_ptr<transport::LinkServer> mServer;
  std::unique_ptr<GroupSeeker> mSeeker; ///< if the settings name seeds
  const ZoneApi mZoneApi;
  std::unique_ptr<OperatorServer> mOperatorServer;
  std::atomic<bool> mIsServingZones{ false }; ///< mOperatorServer is complete
  /** Links of entries and agents; used by the decision thread only. */
  std::unordered_map<std::uint64_t, transport::LinkPtr> mSessions;
  /** Links of control processes; used by the decision thread only. */
  std::unordered_map<std::uint64_t, transport::LinkPtr> mMemberLinks;
  /** Used by the decision thread only. */
  coordination::consensus::Departure mDeparture{ kDepartureTimeout };
  std::atomic<bool> mHasDeparted{ false };
  EventLoop mLoop;
  base::Time mHandoverStartedAt{};
  base::Time mLastTransferAt{};
  base::Time mNotLeadingSince{};
};

} // namespace

std::unique_ptr<Host>
MakeControlHost(HostContext& aContext)
{
  return std::make_unique<ControlHost>(aContext);
}

} // namespace dogwooddrum::daemon
