/** \file
 * Defines LinkClient, which keeps a link to an address open.
 */
#pragma once

#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/Link.h"
#include "dogwooddrum/transport/Network.h"

#include <memory>

namespace dogwooddrum::transport {

/** Connects, and reconnects after every close. Thread safe. */
class LinkClient
{
public:
  /** aNetwork and aCounters must outlive the client. */
  LinkClient(Network& aNetwork,
             const Address& aAddress,
             const LinkOptions& aOptions,
             const LinkEvents& aEvents,
             LinkCounters& aCounters);
  /** Calls Stop. */
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  /** Starts connecting. */
  void Start();
  /** Closes the link and stops reconnecting. */
  void Stop();
  /** Closes the link, resets the delay and connects to aAddress from now on. */
  void Redirect(const Address& aAddress);
  /** Sends on the open link. Returns false if none is open. */
  bool Send(protocol::MessageType aType, std::string_view aPayload);
  /** Returns whether a link is open. */
  bool IsUp() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
