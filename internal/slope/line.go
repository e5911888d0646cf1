package slope

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is what a cost is worked out by: Base + Slope x size.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
}

// fit returns the line of the least squares through the points.
func fit(points []Point) Line {
	var sumX, sumY, sumXX, sumXY float64
	n := float64(len(points))
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Line{Base: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Base: (sumY - slope*sumX) / n, Slope: slope}
}

// at returns the worked-out value at a size.
func (l Line) at(size float64) float64 {
	return l.Base + l.Slope*size
}

// Figure is a cost measured at several sizes and worked out at the target.
type Figure struct {
	Role string `json:"role"`
	// What is measured, in Unit, over sizes counted in Per.
	What   string  `json:"what"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
	Target float64 `json:"targetSize"`
	Worked float64 `json:"atTarget"`
	// Budget is the bound at the target size, 0 for none of its own.
	Budget float64 `json:"budget,omitempty"`
	Fits   bool    `json:"fits"`
}

// work fills in what follows from the points.
func (f Figure) work() Figure {
	f.Line = fit(f.Points)
	f.Worked = f.Line.at(f.Target)
	f.Fits = f.Budget == 0 || f.Worked <= f.Budget
	return f
}

// measure runs one measurement at several sizes.
func measure(f Figure, sizes []int, of func(size int) (float64, error)) (Figure, error) {
	for _, size := range sizes {
		v, err := of(size)
		if err != nil {
			return f, err
		}
		f.Points = append(f.Points, Point{Size: float64(size), Value: v})
	}
	return f.work(), nil
}
