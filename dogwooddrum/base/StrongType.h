/** \file
 * Defines StrongType, a value wrapper that makes ids and units of different
 * meaning distinct types.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace dogwooddrum::base {

/**
 * Wraps a value of type Rep; types with different Tags do not convert.
 * Thread safety: as for the representation.
 */
template<typename Tag, typename Rep>
class StrongType
{
public:
  using Representation = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep aValue)
    : mValue(std::move(aValue))
  {
  }

  /** Returns the wrapped value. */
  constexpr const Rep& Value() const { return mValue; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }

  friend constexpr bool operator==(const StrongType& aLeft,
                                   const StrongType& aRight)
  {
    return aLeft.mValue == aRight.mValue;
  }
  friend constexpr bool operator!=(const StrongType& aLeft,
                                   const StrongType& aRight)
  {
    return !(aLeft == aRight);
  }
  friend constexpr bool operator<(const StrongType& aLeft,
                                  const StrongType& aRight)
  {
    return aLeft.mValue < aRight.mValue;
  }
  friend constexpr bool operator>(const StrongType& aLeft,
                                  const StrongType& aRight)
  {
    return aRight < aLeft;
  }
  friend constexpr bool operator<=(const StrongType& aLeft,
                                   const StrongType& aRight)
  {
    return !(aRight < aLeft);
  }
  friend constexpr bool operator>=(const StrongType& aLeft,
                                   const StrongType& aRight)
  {
    return !(aLeft < aRight);
  }
  friend std::ostream& operator<<(std::ostream& aOut, const StrongType& aValue)
  {
    return aOut << aValue.mValue;
  }

private:
  Rep mValue{};
};

} // namespace dogwooddrum::base

template<typename Tag, typename Rep>
struct std::hash<dogwooddrum::base::StrongType<Tag, Rep>>
{
  std::size_t operator()(
    const dogwooddrum::base::StrongType<Tag, Rep>& aValue) const
  {
    return std::hash<Rep>{}(aValue.Value());
  }
};
