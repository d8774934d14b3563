#include "dogwooddrum/transport/Address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace dogwooddrum::transport {

namespace {

base::Failure
Invalid(const std::string& aText)
{
  return { base::Reason::InvalidRequest,
           "address \"" + aText + "\" is not of the form ip:port" };
}

} // namespace

base::Outcome<Address>
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return Invalid(aText);
  }
  Address address;
  address.mHost = aText.substr(0, colon);
  if (address.mHost.front() == '[' && address.mHost.back() == ']') {
    address.mHost = address.mHost.substr(1, address.mHost.size() - 2);
  }
  const char* begin = aText.data() + colon + 1;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(begin, end, address.mPort);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Invalid(aText);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(address.mHost, ec);
  if (ec) {
    return Invalid(aText);
  }
  return address;
}

} // namespace dogwooddrum::transport
