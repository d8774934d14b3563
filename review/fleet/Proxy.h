/** \file
 * Defines LinkProxy, which forwards the links to one control member and knows
 * from the first bytes of each link which process has opened it.
 */
#pragma once

#include "review/fleet/Http.h"

namespace review {

/** Thread safe. */
class LinkProxy
{
public:
  /** Returns whether links from the named process are cut. */
  using IsCut = std::function<bool(const std::string& aFrom)>;

  /** aNames: the processes that may open links. */
  LinkProxy(const Address& aListen,
            const Address& aTarget,
            std::vector<std::string> aNames,
            IsCut aIsCut);

  bool IsOpen() const { return mServer.IsOpen(); }

private:
  void Forward(int aClient) const;

  const Address mTarget;
  const std::vector<std::string> mNames;
  const IsCut mIsCut;
  SocketServer mServer; ///< last, as its threads use the other members
};

} // namespace review
