/** \file
 * Defines JoinLinks, with which a control process that is not a voter asks
 * the members of its group to take it in.
 */
#pragma once

#include "dogwooddrum/coordination/consensus/Raft.h"
#include "dogwooddrum/transport/LinkClient.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace dogwooddrum::daemon {

/** Thread safety: none; the decision thread owns the object. */
class JoinLinks
{
public:
  /** Called on network threads with the membership that a member told. */
  using OnMembership =
    std::function<void(const coordination::consensus::Membership&)>;

  /** aNetwork and aCounters must outlive the object. */
  JoinLinks(transport::Network& aNetwork,
            const transport::LinkOptions& aOptions,
            transport::LinkCounters& aCounters,
            base::MemberId aSelf,
            std::string aSelfAddress);

  /** Asks the processes at aAddresses and the members that these have told
   * of, without this process. Call repeatedly: only the leader acts, which
   * need not be among aAddresses, and it forgets. */
  void Ask(const std::vector<transport::Address>& aAddresses,
           const OnMembership& aOnMembership);
  /** Closes the links until the next Ask. */
  void Rest();
  void Stop();

private:
  std::unique_ptr<transport::LinkClient> Connect(
    const transport::Address& aAddress,
    const std::string& aRequest,
    const OnMembership& aOnMembership);

  transport::Network& mNetwork;
  const transport::LinkOptions mOptions;
  transport::LinkCounters& mCounters;
  const base::MemberId mSelf;
  const std::string mSelfAddress;
  std::map<std::string, std::unique_ptr<transport::LinkClient>> mLinks;
  /** Addresses of members, written by network threads. */
  struct Told
  {
    std::mutex mMutex;
    std::set<std::string> mAddresses;
  };
  std::shared_ptr<Told> mTold = std::make_shared<Told>();
};

} // namespace dogwooddrum::daemon
