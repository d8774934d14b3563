/** \file
 * Defines the binary encoding of message structs. Codec.cpp instantiates the
 * templates for most messages; other packages instantiate them for their own
 * types with CodecTemplates.h.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <string>
#include <string_view>

namespace dogwooddrum::protocol {

/** Returns the binary form of aValue. Thread safe. */
template<typename T>
std::string
Encode(const T& aValue);

/**
 * Returns the value in aBytes, or MalformedFrame with a message. Trailing bytes
 * are an error. Allocation is bounded by a small multiple of aBytes' size.
 * Thread safe.
 */
template<typename T>
base::Outcome<T>
Decode(std::string_view aBytes);

} // namespace dogwooddrum::protocol
