/** \file
 * Defines ZoneApi, the product's own HTTP interface for the evacuation of
 * availability zones, which control members serve at their HTTP port.
 */
#pragma once

#include "dogwooddrum/daemon/Adapters.h"

#include <string>

namespace dogwooddrum::daemon {

/** Decodes GET /v1/zones and POST and DELETE /v1/zones/ZONE/evacuation, and
 * renders their responses (docs/interface.md). Thread safe. */
class ZoneApi final : public OperatorProtocol
{
public:
  /** aOperatorKey: authorizes requests; empty: all are refused. */
  explicit ZoneApi(std::string aOperatorKey);
  /** Returns whether the path belongs to this interface. */
  static bool IsZonePath(const std::string& aPath);

  OperatorCall Decode(const transport::ServerRequest& aRequest) const override;
  transport::ServerResponse Render(
    const protocol::WorkloadReply& aReply) const override;
  transport::ServerResponse Redirect(
    const transport::Address& aAddress,
    const transport::ServerRequest& aRequest) const override;
  transport::ServerResponse Unavailable(
    const std::string& aError) const override;

private:
  const std::string mOperatorKey;
};

} // namespace dogwooddrum::daemon
