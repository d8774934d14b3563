/** \file
 * Defines ResponseReader, which parses one response and bounds its bytes.
 * Included only by source files of this package.
 */
#pragma once

#include "dogwooddrum/transport/ConnectionTable.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstdint>

namespace dogwooddrum::transport {

/**
 * Parses the response to one request. The caller reads into Prepare and passes
 * each result to OnReceived until IsDone or an error.
 * Thread safety: none.
 */
class ResponseReader
{
public:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  /** aMaxBodyBytes bounds the body; header and trailers have a limit of 64 KiB
   * each, and chunk headers one that depends on the body. */
  explicit ResponseReader(std::uint64_t aMaxBodyBytes)
  {
    mParser.body_limit(aMaxBodyBytes);
    mParser.header_limit(kMaxHeaderBytes);
    mParser.eager(true);
  }

  /** Returns where to put the next received bytes. */
  boost::asio::mutable_buffer Prepare()
  {
    return mBuffer.prepare(
      std::min(kReadBytes, mBuffer.max_size() - mBuffer.size()));
  }

  /** Parses aBytes that were received. Sets aError to body_limit, header_limit
   * or buffer_overflow for a response beyond a limit. */
  void OnReceived(boost::system::error_code& aError, std::size_t aBytes)
  {
    namespace http = boost::beast::http;
    mBuffer.commit(aBytes);
    if (aError == boost::asio::error::eof) {
      aError = {};
      if (mParser.got_some()) {
        mParser.put_eof(aError);
      } else {
        aError = http::error::end_of_stream;
      }
      return;
    }
    while (!aError && mBuffer.size() > 0 && !mParser.is_done()) {
      const auto parsed = mParser.put(mBuffer.data(), aError);
      mBuffer.consume(parsed);
      mParsedBytes += parsed;
    }
    if (aError == http::error::need_more) {
      aError = {};
    }
    const std::uint64_t body =
      mParser.is_header_done() ? mParser.get().body().size() : 0;
    if (!aError &&
        (mBuffer.size() == mBuffer.max_size() ||
         mParsedBytes - body > MaxFramingBytes(2ULL * kMaxHeaderBytes, body))) {
      aError = http::error::buffer_overflow;
    }
  }

  bool IsDone() const { return mParser.is_done(); }
  /** Returns whether bytes followed the response. */
  bool HasExcess() const { return mBuffer.size() > 0; }
  /** Returns the response. Precondition: IsDone. */
  Parser::value_type Release() { return mParser.release(); }

  /** Returns whether the response exceeded a limit. */
  static bool IsTooLarge(const boost::system::error_code& aError)
  {
    namespace http = boost::beast::http;
    return aError == http::error::body_limit ||
           aError == http::error::header_limit ||
           aError == http::error::buffer_overflow;
  }

private:
  static constexpr std::uint32_t kMaxHeaderBytes = 64U << 10;
  static constexpr std::size_t kReadBytes = 64U << 10;

  Parser mParser;
  boost::beast::flat_buffer mBuffer{ kMaxHeaderBytes + kReadBytes };
  std::uint64_t mParsedBytes = 0;
};

} // namespace dogwooddrum::transport
