#ifndef BLUEBELLSPOKE_MODEL_OVERLOADED_HPP
#define BLUEBELLSPOKE_MODEL_OVERLOADED_HPP

namespace bluebellspoke
{

/// Joins functions into one visitor of a message variant.
template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}

#endif
