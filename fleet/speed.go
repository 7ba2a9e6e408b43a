package fleet

// minSpeedChange is the part of a speed by which it must change to be worth a message. At a
// smaller one, nodes would send more messages about speeds than about requests.
const minSpeedChange = 0.2

// speedChanged reports whether the change of a speed from the one sent before is worth a
// message. Whether it is known is not: a speed that was forgotten is dropped with the next
// message about the endpoint.
func speedChanged(speed, sent int) bool {
	if speed == 0 || sent == 0 {
		return speed > sent
	}
	change := float64(speed-sent) / float64(sent)
	return change >= minSpeedChange || -change >= minSpeedChange
}

// withSpeed returns the usage with the speeds of another.
func (u EndpointUsage) withSpeed(from EndpointUsage) EndpointUsage {
	u.Slow, u.SlowNodes = from.Slow, from.SlowNodes
	u.Prefill, u.PrefillNodes = from.Prefill, from.PrefillNodes
	return u
}

// addSpeed adds the speeds that a node measured to those of others, or subtracts them if
// sign is -1.
func (u *EndpointUsage) addSpeed(from EndpointUsage, sign int) {
	u.Slow += sign * from.Slow
	u.SlowNodes += sign * from.SlowNodes
	u.Prefill += sign * from.Prefill
	u.PrefillNodes += sign * from.PrefillNodes
}
