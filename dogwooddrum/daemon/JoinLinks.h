/** \file
 * Defines JoinLinks, which sends the join requests of a control process that is
 * not a voter to the members of its group.
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
  /** Called on network threads with the membership from a member's reply. */
  using OnMembership =
    std::function<void(const coordination::consensus::Membership&)>;

  /** aNetwork and aCounters must outlive the object. */
  JoinLinks(transport::Network& aNetwork,
            const transport::LinkOptions& aOptions,
            transport::LinkCounters& aCounters,
            base::MemberId aSelf,
            std::string aSelfAddress);

  /** Sends a join request to aAddresses and to the members named in their
   * replies, except this process. Call repeatedly: only the leader, which need
   * not be among aAddresses, acts on a request, and requests expire. */
  void RequestJoin(const std::vector<transport::Address>& aAddresses,
                   const OnMembership& aOnMembership);
  /** Sends later join requests to these members, too. */
  void AddKnownMembers(const coordination::consensus::Membership& aMembership);
  /** Closes the links until the next RequestJoin. */
  void CloseLinks();
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
  /** Addresses of members from replies, written by network threads. */
  struct KnownMembers
  {
    void Add(const coordination::consensus::Membership& aMembership);
    std::mutex mMutex;
    std::set<std::string> mAddresses;
  };
  std::shared_ptr<KnownMembers> mKnownMembers =
    std::make_shared<KnownMembers>();
};

} // namespace dogwooddrum::daemon
