/** \file
 * Implements the templates Encode and Decode with cereal. Include this header
 * only in source files that instantiate the codec for a package's types.
 */
#pragma once

#include "dogwooddrum/protocol/Codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstring>
#include <type_traits>

namespace dogwooddrum::protocol {

/** Output archive that appends little-endian binary to a string. */
class BinaryWriter
  : public cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>
{
public:
  explicit BinaryWriter(std::string& aOut)
    : OutputArchive(this)
    , mOut(aOut)
  {
  }
  void saveBinary(const void* aData, std::size_t aBytes)
  {
    mOut.append(static_cast<const char*>(aData), aBytes);
  }

private:
  std::string& mOut;
};

/**
 * Input archive that reads binary from a view. A container size above the
 * number of remaining bytes is an error before anything is allocated.
 */
class BinaryReader
  : public cereal::InputArchive<BinaryReader, cereal::AllowEmptyClassElision>
{
public:
  explicit BinaryReader(std::string_view aIn)
    : InputArchive(this)
    , mIn(aIn)
  {
  }
  void loadBinary(void* aData, std::size_t aBytes)
  {
    if (aBytes > mIn.size()) {
      throw cereal::Exception("need " + std::to_string(aBytes) +
                              " bytes, have " + std::to_string(mIn.size()));
    }
    std::memcpy(aData, mIn.data(), aBytes);
    mIn.remove_prefix(aBytes);
  }
  void loadSize(cereal::size_type& aSize)
  {
    loadBinary(&aSize, sizeof aSize);
    if (aSize > mIn.size()) {
      throw cereal::Exception("container of " + std::to_string(aSize) +
                              " elements in " + std::to_string(mIn.size()) +
                              " bytes");
    }
  }
  std::size_t RemainingBytes() const { return mIn.size(); }

private:
  std::string_view mIn;
};

template<class T>
inline std::enable_if_t<std::is_arithmetic<T>::value>
CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& aArchive, const T& aValue)
{
  aArchive.saveBinary(std::addressof(aValue), sizeof aValue);
}

template<class T>
inline std::enable_if_t<std::is_arithmetic<T>::value>
CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aArchive, T& aValue)
{
  aArchive.loadBinary(std::addressof(aValue), sizeof aValue);
}

// Reads a bool as a byte: copying another value than 0 or 1 into a bool would
// be undefined behaviour.
inline void
CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aArchive, bool& aValue)
{
  std::uint8_t byte = 0;
  aArchive.loadBinary(&byte, sizeof byte);
  aValue = byte != 0;
}

template<class T>
inline void
CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& aArchive,
                          const cereal::SizeTag<T>& aTag)
{
  const auto size = static_cast<cereal::size_type>(aTag.size);
  aArchive.saveBinary(&size, sizeof size);
}

template<class T>
inline void
CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aArchive, cereal::SizeTag<T>& aTag)
{
  cereal::size_type size = 0;
  aArchive.loadSize(size);
  aTag.size = size;
}

template<class T>
inline void
CEREAL_SAVE_FUNCTION_NAME(BinaryWriter& aArchive,
                          const cereal::BinaryData<T>& aData)
{
  aArchive.saveBinary(aData.data, aData.size);
}

template<class T>
inline void
CEREAL_LOAD_FUNCTION_NAME(BinaryReader& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.loadBinary(aData.data, aData.size);
}

template<class T>
inline void
CEREAL_SERIALIZE_FUNCTION_NAME(BinaryWriter& aArchive,
                               cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
inline void
CEREAL_SERIALIZE_FUNCTION_NAME(BinaryReader& aArchive,
                               cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<typename T>
std::string
Encode(const T& aValue)
{
  std::string out;
  BinaryWriter writer(out);
  writer(aValue);
  return out;
}

template<typename T>
base::Outcome<T>
Decode(std::string_view aBytes)
{
  try {
    BinaryReader reader(aBytes);
    T value{};
    reader(value);
    if (reader.RemainingBytes() != 0) {
      return base::Failure{ base::Reason::MalformedFrame,
                            std::to_string(reader.RemainingBytes()) +
                              " bytes left after the value" };
    }
    return value;
  } catch (const std::exception& e) {
    return base::Failure{ base::Reason::MalformedFrame, e.what() };
  }
}

} // namespace dogwooddrum::protocol

CEREAL_REGISTER_ARCHIVE(dogwooddrum::protocol::BinaryWriter)
CEREAL_REGISTER_ARCHIVE(dogwooddrum::protocol::BinaryReader)
CEREAL_SETUP_ARCHIVE_TRAITS(dogwooddrum::protocol::BinaryReader,
                            dogwooddrum::protocol::BinaryWriter)
/** Instantiates the codec for one type. Use in a source file only. */
#define DOGWOODDRUM_CODEC(aType)                                               \
  template std::string dogwooddrum::protocol::Encode(const aType&);            \
  template dogwooddrum::base::Outcome<aType> dogwooddrum::protocol::Decode(    \
    std::string_view)
