/** \file
 * Defines ConnectionTable, which decides which connections of a server are
 * closed to stay within its limits, and the limits of one request.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dogwooddrum::transport {

/** Returns the number of bytes by which chunk headers, extensions and trailers
 * may exceed a body of aBodyBytes. Allows chunks of one byte without
 * extensions. Thread safe. */
std::uint64_t
MaxFramingBytes(std::uint64_t aMaxHeaderBytes, std::uint64_t aBodyBytes);

/**
 * Connections of one server, by id, and the bytes that their requests hold in
 * memory. A connection is reading until its request is complete, and then
 * handled until the response was sent. Only reading connections are shed: none
 * of their requests has run.
 * Thread safety: none; uses no network.
 */
class ConnectionTable
{
public:
  using Id = std::uint64_t;

  /** aMaxBytes bounds the bytes of all requests together. */
  ConnectionTable(std::size_t aMaxConnections, std::size_t aMaxBytes);

  struct Admitted
  {
    bool mIsAdmitted = false;
    std::optional<Id> mShed; ///< connection to close instead
  };
  /** Adds a reading connection. At the limit the reading connection that has
   * waited longest is shed and no longer counts; if there is none, the new one
   * is not admitted. */
  Admitted Add(Id aId);
  /** Sheds an eighth of the reading connections, at least one, those that have
   * waited longest first; for a lack of descriptors below the limit. */
  std::vector<Id> ShedLongestWaiting();
  void Remove(Id aId);
  /** The connection waits for its next request. */
  void BeginReading(Id aId);
  /** The request is complete; the connection isn't shed until it reads. */
  void BeginHandling(Id aId);
  /** Sets the bytes that the connection's request holds. If they grow beyond
   * the limit of all, returns the reading connection with the most bytes,
   * possibly aId itself; it no longer counts. */
  std::optional<Id> SetBytes(Id aId, std::size_t aBytes);
  /** Counts the bytes of a complete request, apart from its connection. */
  void Hold(std::size_t aBytes) { mBytes += aBytes; }
  /** Ends a Hold of as many bytes. */
  void Release(std::size_t aBytes) { mBytes -= aBytes; }

  std::size_t Connections() const { return mConnections.size(); }
  std::size_t Bytes() const { return mBytes; }

private:
  struct Connection
  {
    std::size_t mBytes = 0;
    bool mIsReading = true;
    std::list<Id>::iterator mPosition; ///< in mReading, if mIsReading
  };
  void Forget(std::unordered_map<Id, Connection>::iterator aIt);

  const std::size_t mMaxConnections;
  const std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::unordered_map<Id, Connection> mConnections;
  std::list<Id> mReading; ///< the longest wait first
};

} // namespace dogwooddrum::transport
