/** \file
 * Defines Address, an IP address with a port as written in settings.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <cstdint>
#include <string>

namespace dogwooddrum::transport {

struct Address
{
  std::string mHost; ///< numeric IPv4 or IPv6 address
  std::uint16_t mPort = 0;
};

/**
 * Returns the address in aText ("10.0.0.1:80" or "[::1]:80"), or
 * InvalidRequest with a message that names aText. Thread safe.
 */
base::Outcome<Address>
ParseAddress(const std::string& aText);

} // namespace dogwooddrum::transport
