#include "dogwooddrum/daemon/MemberCheck.h"

#include "dogwooddrum/protocol/Codec.h"
#include "dogwooddrum/transport/LinkClient.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::daemon {

namespace {

/** Longest wait for answers. The process then exits, and the service manager
 * restarts it. */
constexpr std::chrono::seconds kAnswerTimeout(30);

/** Answers of the peers; shared with the callbacks of their links. */
struct Answers
{
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<std::uint64_t> mNotVoterPeers; ///< ids of peers that answered no
  std::string mVoterPeer;                 ///< name of a peer that answered yes
};

transport::LinkEvents
MakeEvents(const std::shared_ptr<Answers>& aAnswers, base::MemberId aSelf)
{
  transport::LinkEvents events;
  events.mUp = [aSelf](const transport::LinkPtr& aLink) {
    aLink->Send(protocol::MessageType::MemberQuery, protocol::Encode(aSelf));
  };
  events.mFrame = [aAnswers](const transport::LinkPtr& aLink,
                             const protocol::Frame& aFrame) {
    if (aFrame.mType != protocol::MessageType::MemberAnswer ||
        aFrame.mPayload.size() != 1) {
      return;
    }
    const std::lock_guard<std::mutex> lock(aAnswers->mMutex);
    if (aFrame.mPayload[0] != 0) {
      aAnswers->mVoterPeer = aLink->Peer().mName;
    } else {
      aAnswers->mNotVoterPeers.insert(aLink->Peer().mId);
    }
    aAnswers->mChanged.notify_all();
  };
  events.mClosed = [](const transport::LinkPtr&, transport::CloseReason) {};
  return events;
}

} // namespace

base::Outcome<bool>
CheckNotVoter(transport::Network& aNetwork,
              const transport::LinkOptions& aOptions,
              transport::LinkCounters& aCounters,
              const service::ControlSettings& aSettings)
{
  const auto answers = std::make_shared<Answers>();
  const auto events = MakeEvents(answers, aSettings.mMemberId);
  std::vector<std::unique_ptr<transport::LinkClient>> links;
  for (const auto& peer : aSettings.mPeers) {
    if (peer.mId != aSettings.mMemberId) {
      links.push_back(std::make_unique<transport::LinkClient>(
        aNetwork,
        transport::Address{ peer.mAddress.mIp, peer.mAddress.mPort },
        aOptions,
        events,
        aCounters));
      links.back()->Start();
    }
  }
  const std::size_t majority = links.empty() ? 0 : links.size() / 2 + 1;
  std::unique_lock<std::mutex> lock(answers->mMutex);
  const bool answered = answers->mChanged.wait_for(lock, kAnswerTimeout, [&] {
    return !answers->mVoterPeer.empty() ||
           answers->mNotVoterPeers.size() >= majority;
  });
  const std::string self = std::to_string(aSettings.mMemberId.Value());
  if (!answers->mVoterPeer.empty()) {
    return base::Failure{
      base::Reason::StorageFailed,
      "data folder " + aSettings.mDataFolder + " is empty, but " +
        answers->mVoterPeer + " knows member " + self +
        " as a voter; remove it from the group and rejoin under a new id"
    };
  }
  if (!answered) {
    return base::Failure{ base::Reason::LinkClosed,
                          "data folder " + aSettings.mDataFolder +
                            " is empty, and only " +
                            std::to_string(answers->mNotVoterPeers.size()) +
                            " of " + std::to_string(links.size()) +
                            " peers, not a majority, answered "
                            "whether member " +
                            self +
                            " is a voter; --found prepares the first "
                            "members of a new group" };
  }
  return true;
}

} // namespace dogwooddrum::daemon
