/** \file
 * Defines LinkServer, which accepts links.
 */
#pragma once

#include "dogwooddrum/transport/Address.h"
#include "dogwooddrum/transport/Link.h"
#include "dogwooddrum/transport/Network.h"

#include <memory>

namespace dogwooddrum::transport {

/** Accepts links on one address. Thread safe. */
class LinkServer
{
public:
  /**
   * Listens on aAddress; port 0 selects a free port. Fails with LinkClosed and
   * a message that names the address. aNetwork and aCounters must outlive the
   * server. Connections beyond aMaxLinks are closed immediately.
   */
  static base::Outcome<std::unique_ptr<LinkServer>> Listen(
    Network& aNetwork,
    const Address& aAddress,
    const LinkOptions& aOptions,
    const LinkEvents& aEvents,
    LinkCounters& aCounters,
    std::size_t aMaxLinks);

  /** Calls Stop. */
  ~LinkServer();
  /** Stops listening and closes all links. */
  void Stop();
  std::uint16_t Port() const;

private:
  struct Impl;
  explicit LinkServer(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace dogwooddrum::transport
